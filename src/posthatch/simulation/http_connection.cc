#include "posthatch/simulation/http_connection.h"

#include <xxhash.h>

#include <utility>

#include "posthatch/simulation/sim_http_server.h"

namespace posthatch::simulation {
namespace {

uint64_t Digest(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

HttpConnection::HttpConnection(WorldCore* core, HostExecutor* client, std::string endpoint)
    : core_(core),
      id_(core->NextId()),
      client_(client),
      client_process_id_(client->process_id()),
      endpoint_(std::move(endpoint)) {}

void HttpConnection::Connect(std::shared_ptr<ClientEnd> end) {
  client_end_ = std::move(end);
  HostExecutor* target = core_->network.FindTarget(endpoint_);
  request_pipe_ = std::make_shared<Pipe>(core_, TraceKind::kHttp, client_, target, 0);
  request_pipe_->set_accept([weak = weak_from_this()]() -> uint64_t {
    const auto self = weak.lock();
    return self == nullptr || self->client_closed_ ? 0 : self->AcceptAtServer();
  });
  request_pipe_->set_on_error([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnServerClosed();
  });
  // The first, empty message represents the handshake, which the server's kernel completes.
  request_pipe_->Push(0, id_, [] {});
}

uint64_t HttpConnection::AcceptAtServer() {
  SimHttpServer* server = core_->network.FindServer(endpoint_);
  return server == nullptr ? 0 : server->Accept(shared_from_this());
}

void HttpConnection::OnAccepted(HostExecutor* server, std::shared_ptr<ServerEnd> end) {
  server_ = server;
  server_process_id_ = server->process_id();
  server_end_ = std::move(end);
  response_pipe_ =
      std::make_shared<Pipe>(core_, TraceKind::kHttp, server_, client_, client_process_id_);
  response_pipe_->set_on_error([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnClientClosed();
  });
  PushToClient(0, id_, {}, [](ClientEnd* end, http::Response*) { end->OnConnected(); });
}

void HttpConnection::SendRequest(http::Request request) {
  const size_t bytes = request.target.size() + request.body.size();
  const uint64_t digest = Digest(request.body, Digest(request.target, id_));
  request.connection_id = id_;
  ++requests_sent_;
  request_pipe_->Push(bytes, digest,
                      [weak = weak_from_this(), request = std::move(request)]() mutable {
                        const auto self = weak.lock();
                        if (self == nullptr) return;
                        if (self->server_closed_) {
                          self->request_pipe_->Reset();
                        } else if (const auto end = self->server_end_) {
                          end->OnRequest(std::move(request));
                        }
                      });
}

void HttpConnection::PushToClient(size_t bytes, uint64_t digest, http::Response content,
                                  ClientAction action) {
  response_pipe_->Push(bytes, digest,
                       [weak = weak_from_this(), content = std::move(content), action]() mutable {
                         const auto self = weak.lock();
                         if (self == nullptr) return;
                         if (self->client_closed_) {
                           self->response_pipe_->Reset();
                         } else if (const auto end = self->client_end_) {
                           action(end.get(), &content);
                         } else {
                           self->CloseClient();  // bytes that no request asked for
                         }
                       });
}

void HttpConnection::SendHead(http::Response head) {
  head.body.clear();
  const uint64_t digest = id_ + static_cast<uint64_t>(head.status);
  PushToClient(1, digest, std::move(head),
               [](ClientEnd* end, http::Response* content) { end->OnHead(*content); });
}

void HttpConnection::SendChunk(std::string chunk) {
  const uint64_t digest = Digest(chunk, id_);
  const size_t bytes = chunk.size();
  http::Response content;
  content.body = std::move(chunk);
  PushToClient(bytes, digest, std::move(content), [](ClientEnd* end, http::Response* content) {
    end->OnChunk(std::move(content->body));
  });
}

void HttpConnection::SendEnd() {
  PushToClient(1, id_, {}, [](ClientEnd* end, http::Response*) { end->OnEnd(); });
}

void HttpConnection::SendResponse(http::Response response) {
  std::string body = std::move(response.body);
  SendHead(std::move(response));
  if (!body.empty()) SendChunk(std::move(body));
  SendEnd();
}

void HttpConnection::SendResponseAtOnce(http::Response response) {
  const size_t bytes = response.body.size() + 1;
  const uint64_t digest = Digest(response.body, id_ + static_cast<uint64_t>(response.status));
  PushToClient(bytes, digest, std::move(response), [](ClientEnd* end, http::Response* content) {
    std::string body = std::exchange(content->body, {});
    end->OnHead(*content);
    if (!body.empty()) end->OnChunk(std::move(body));
    end->OnEnd();
  });
}

void HttpConnection::CloseClient() {
  if (client_closed_) return;
  client_closed_ = true;
  const std::shared_ptr<ClientEnd> end = std::move(client_end_);
  client_end_ = nullptr;
  Callback deliver = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnClientClosed();
  };
  if (client_process_id_ == client_->process_id()) {
    request_pipe_->Push(0, id_, std::move(deliver));
  } else {
    request_pipe_->CloseSender(client_->powered() ? std::move(deliver) : nullptr);
  }
  if (response_pipe_ != nullptr) response_pipe_->ResumeReading();
}

void HttpConnection::CloseServer() {
  if (server_closed_) return;
  server_closed_ = true;
  const std::shared_ptr<ServerEnd> end = std::move(server_end_);
  server_end_ = nullptr;
  Callback deliver = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnServerClosed();
  };
  if (server_process_id_ == server_->process_id()) {
    response_pipe_->Push(0, id_, std::move(deliver));
  } else {
    response_pipe_->CloseSender(server_->powered() ? std::move(deliver) : nullptr);
  }
}

void HttpConnection::OnServerClosed() {
  if (client_closed_) return;
  const std::shared_ptr<ClientEnd> end = client_end_;
  CloseClient();
  if (end != nullptr) end->OnClosed();
}

void HttpConnection::OnClientClosed() {
  if (server_closed_) return;
  const std::shared_ptr<ServerEnd> end = server_end_;
  CloseServer();
  if (end != nullptr) end->OnClosed();
}

void HttpConnection::StopReading() {
  if (response_pipe_ != nullptr) response_pipe_->StopReading();
}

void HttpConnection::ResumeReading() {
  if (response_pipe_ != nullptr) response_pipe_->ResumeReading();
}

size_t HttpConnection::response_buffered_bytes() const { return response_pipe_->buffered_bytes(); }

void HttpConnection::NotifyWritable(size_t threshold, Callback callback) {
  response_pipe_->NotifyWritable(threshold, std::move(callback));
}

}  // namespace posthatch::simulation
