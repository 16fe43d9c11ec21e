#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/simulation/pipe.h"

namespace posthatch::simulation {

// A simulated HTTP/1.1 connection: a pipe in each direction and the two ends. Owned by its ends
// (the client's pool or call, and the server); messages in flight refer to it weakly.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // Receives the client's events; called in the client host's context.
  class ClientEnd {
   public:
    virtual ~ClientEnd() = default;
    virtual void OnConnected() = 0;
    virtual void OnHead(const http::Response& head) = 0;
    virtual void OnChunk(std::string chunk) = 0;
    virtual void OnEnd() = 0;
    virtual void OnClosed() = 0;
  };
  // Receives the server's events; called in the server host's context.
  class ServerEnd {
   public:
    virtual ~ServerEnd() = default;
    virtual void OnRequest(http::Request request) = 0;
    virtual void OnClosed() = 0;
  };

  HttpConnection(WorldCore* core, HostExecutor* client, std::string endpoint);

  uint64_t id() const { return id_; }
  // Number of requests sent on this connection.
  uint64_t requests_sent() const { return requests_sent_; }

  // Client's side. Connect ends with a call of OnConnected or OnClosed.
  void Connect(std::shared_ptr<ClientEnd> end);
  void set_client_end(std::shared_ptr<ClientEnd> end) { client_end_ = std::move(end); }
  void SendRequest(http::Request request);
  void CloseClient();
  // Whether another request may be sent, as far as the client knows.
  bool client_open() const { return !client_closed_; }
  void StopReading();
  void ResumeReading();

  // Server's side.
  void OnAccepted(HostExecutor* server, std::shared_ptr<ServerEnd> end);
  void SendHead(http::Response head);
  void SendChunk(std::string chunk);
  void SendEnd();
  void SendResponse(http::Response response);
  // Like SendResponse, but the client receives all of it at the same time.
  void SendResponseAtOnce(http::Response response);
  void CloseServer();
  size_t response_buffered_bytes() const;
  void NotifyWritable(size_t threshold, Callback callback);

 private:
  using ClientAction = void (*)(ClientEnd*, http::Response*);

  uint64_t AcceptAtServer();
  void PushToClient(size_t bytes, uint64_t digest, http::Response content, ClientAction action);
  void OnServerClosed();
  void OnClientClosed();

  WorldCore* const core_;
  const uint64_t id_;
  HostExecutor* const client_;
  const uint64_t client_process_id_;
  const std::string endpoint_;
  HostExecutor* server_ = nullptr;
  uint64_t server_process_id_ = 0;
  std::shared_ptr<Pipe> request_pipe_;
  std::shared_ptr<Pipe> response_pipe_;  // null until accepted
  std::shared_ptr<ClientEnd> client_end_;
  std::shared_ptr<ServerEnd> server_end_;
  uint64_t requests_sent_ = 0;
  bool client_closed_ = false;
  bool server_closed_ = false;
};

}  // namespace posthatch::simulation
