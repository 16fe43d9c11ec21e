#pragma once

#include <memory>
#include <utility>

namespace posthatch::util {

// Lets callbacks find out whether the object that they belong to still exists. A callback that
// captures `this` and may run after the object is gone (a timer, a completion, a listener that
// can't be removed) is wrapped by Guard, or captures an Observer and checks it first.
//
// Declared as a member of the owner. Observers see the end when the member is destroyed, so members
// declared after it are destroyed by then and members declared before it are not. Not thread-safe:
// owner and callbacks share one event loop thread.
class Lifetime {
  struct Token {};

 public:
  // Copyable; may outlive the owner.
  class Observer {
   public:
    // Whether the owner has been destroyed.
    bool Ended() const { return token_.expired(); }

   private:
    friend class Lifetime;
    explicit Observer(std::weak_ptr<const Token> token) : token_(std::move(token)) {}
    std::weak_ptr<const Token> token_;
  };

  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  Observer Observe() const { return Observer(token_); }

  // `callback` that does nothing once the owner is gone. Its result is dropped.
  template <typename Callback>
  auto Guard(Callback callback) const {
    return [observer = Observe(), callback = std::move(callback)](auto&&... arguments) mutable {
      if (!observer.Ended()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  const std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

}  // namespace posthatch::util
