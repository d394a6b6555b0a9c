#include "Caller.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace marjorambend::review {

Caller::~Caller() {
  for (Open *One : Open_) {
    evhttp_connection_free(One->Connection_);
    delete One;
  }
}

void Caller::send(const HttpCall &Call, Handler OnResult) {
  auto *New = new Open{.Owner_ = this, .OnResult_ = std::move(OnResult)};
  Open_.insert(New);
  New->Connection_ = evhttp_connection_base_new(
      Loop_.base(), nullptr, Call.To_.Address_.c_str(), Call.To_.Port_);
  evhttp_connection_set_retries(New->Connection_, 0);
  const timeval Bound = toTimeval(Call.Timeout_);
  evhttp_connection_set_timeout_tv(New->Connection_, &Bound);
  evhttp_request *Request = evhttp_request_new(onDone, New);
  for (const auto &[Key, Value] : Call.Headers_)
    evhttp_add_header(evhttp_request_get_output_headers(Request), Key.c_str(),
                      Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body_.data(),
               Call.Body_.size());
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  if (Call.Method_ == "POST")
    Method = EVHTTP_REQ_POST;
  else if (Call.Method_ == "DELETE")
    Method = EVHTTP_REQ_DELETE;
  evhttp_make_request(New->Connection_, Request, Method, Call.Target_.c_str());
}

void Caller::onDone(evhttp_request *Request, void *Argument) {
  auto *Done = static_cast<Open *>(Argument);
  HttpResult Result = tl::unexpected(HttpFailure::Lost);
  if (Request != nullptr && evhttp_request_get_response_code(Request) != 0) {
    HttpReply Reply{.Status_ = static_cast<uint16_t>(
                        evhttp_request_get_response_code(Request))};
    evbuffer *Body = evhttp_request_get_input_buffer(Request);
    Reply.Body_.resize(evbuffer_get_length(Body));
    evbuffer_remove(Body, Reply.Body_.data(), Reply.Body_.size());
    Result = std::move(Reply);
  }
  // A connection must not be freed in its own callback.
  Done->Close_ = std::make_unique<Timer>(
      Done->Owner_->Loop_, Milliseconds{0}, Timer::Mode::Once, [Done] {
        evhttp_connection_free(Done->Connection_);
        Done->Owner_->Open_.erase(Done);
        delete Done;
      });
  Done->OnResult_(std::move(Result));
}

} // namespace marjorambend::review
