#include "posthatch/net/http_response_writer.h"

#include <utility>

#include "posthatch/net/http_server_connection.h"

namespace posthatch::net {

HttpResponseWriter::HttpResponseWriter(std::shared_ptr<HttpServerConnection> connection,
                                       uint64_t exchange)
    : connection_(std::move(connection)), exchange_(exchange) {}

HttpResponseWriter::~HttpResponseWriter() { connection_->Abort(exchange_); }

void HttpResponseWriter::SendResponse(http::Response response) {
  connection_->SendResponse(exchange_, std::move(response));
}

void HttpResponseWriter::StartStream(http::Response head) {
  connection_->StartStream(exchange_, head);
}

void HttpResponseWriter::WriteChunk(std::string chunk) {
  connection_->WriteChunk(exchange_, std::move(chunk));
}

void HttpResponseWriter::FinishStream() { connection_->FinishStream(exchange_); }

void HttpResponseWriter::Abort() { connection_->Abort(exchange_); }

size_t HttpResponseWriter::buffered_bytes() const {
  return connection_->Running(exchange_) ? connection_->buffered_bytes() : 0;
}

void HttpResponseWriter::OnWritable(std::function<void()> callback) {
  connection_->OnWritable(exchange_, std::move(callback));
}

void HttpResponseWriter::OnCallerDisconnected(std::function<void()> callback) {
  connection_->OnCallerDisconnected(exchange_, std::move(callback));
}

}  // namespace posthatch::net
