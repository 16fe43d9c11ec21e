#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace posthatch::simulation {

// A queue that allocates nothing until it is first used: a std::deque takes half a kilobyte, and a
// world has hundreds of thousands of queues.
template <typename Element>
class Fifo {
 public:
  bool empty() const { return head_ == elements_.size(); }
  Element& front() { return elements_[head_]; }
  void push_back(Element element) { elements_.push_back(std::move(element)); }
  Element pop_front() {
    Element element = std::move(elements_[head_++]);
    if (empty()) {
      clear();
    } else if (head_ >= kCompactionThreshold && head_ * 2 >= elements_.size()) {
      elements_.erase(elements_.begin(), elements_.begin() + static_cast<ptrdiff_t>(head_));
      head_ = 0;
    }
    return element;
  }
  void clear() {
    // Destructors of the elements may access this queue again.
    std::vector<Element> released;
    if (elements_.size() > kCompactionThreshold || !empty()) {
      released.swap(elements_);
    } else {
      elements_.clear();
    }
    head_ = 0;
  }
  auto begin() const { return elements_.begin() + static_cast<ptrdiff_t>(head_); }
  auto end() const { return elements_.end(); }

 private:
  static constexpr size_t kCompactionThreshold = 32;

  std::vector<Element> elements_;
  size_t head_ = 0;
};

}  // namespace posthatch::simulation
