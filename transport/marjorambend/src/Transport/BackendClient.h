#ifndef MARJORAMBEND_TRANSPORT_BACKENDCLIENT_H
#define MARJORAMBEND_TRANSPORT_BACKENDCLIENT_H

#include "marjorambend/src/Instance/Actions.h"
#include "marjorambend/src/Instance/Events.h"
#include "marjorambend/src/Transport/HttpClient.h"

#include <functional>
#include <unordered_map>

namespace marjorambend {

/// \brief Sends tasks to backend servers: `POST /v1/tasks` over HTTP.
///
/// Status 200 carries a result. Status 503 with the header Marjorambend-Not-Run
/// means that the task was not run; with Marjorambend-Leaving as well, that the
/// server is shutting down. Any other response means that the task ran and
/// failed.
class BackendClient {
public:
  using FinishedHandler = std::function<void(TaskFinished)>;

  BackendClient(HttpClient &Client, FinishedHandler OnFinished);

  void send(const SendTask &Task, const Endpoint &To);
  void abort(uint64_t Send);

private:
  HttpClient &Client_;
  FinishedHandler OnFinished_;
  std::unordered_map<uint64_t, uint64_t> Calls_; ///< By send number.
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_BACKENDCLIENT_H
