#ifndef MARJORAMBEND_TRANSPORT_PLATFORMCLIENT_H
#define MARJORAMBEND_TRANSPORT_PLATFORMCLIENT_H

#include "marjorambend/src/Instance/Actions.h"
#include "marjorambend/src/Instance/Events.h"
#include "marjorambend/src/Transport/HttpClient.h"

#include <functional>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief An instance in the platform's list.
struct InstanceSpec {
  std::string Name_;
  std::string DataCentre_;
  std::string Address_;
  uint16_t CallerPort_ = 0;
  uint16_t OperatorPort_ = 0;
  uint16_t PeerPort_ = 0;
};

/// \brief The platform's list. It may be out of date and contain instances and
/// workers that no longer exist.
struct PlatformList {
  std::string Version_; ///< Changes with every change of the list.
  std::vector<InstanceSpec> Instances_;
  std::vector<WorkerSpec> Workers_;
};

/// \brief Parameters of the platform's service.
struct PlatformOptions {
  Endpoint Service_;
  Incarnation Self_;
  InstanceSpec Instance_; ///< Sent with each read of the list.
  Milliseconds Timeout_{800};
};

/// \brief Client of the platform's table service and list, HTTP with JSON.
///
/// Each claim, read or swap results in one event. A late, lost or unreadable
/// answer is reported as a failure, although the call may have taken effect.
class PlatformClient {
public:
  using EventHandler = std::function<void(Event)>;
  using ListHandler = std::function<void(PlatformList)>;

  PlatformClient(HttpClient &Client, PlatformOptions Options,
                 EventHandler OnEvent, ListHandler OnList);

  void insertClaims(const ClaimBatch &Batch);
  void readRow(const ReadRow &Read);
  void swapRow(const SwapRow &Swap);
  void deleteRows(const std::string &Prefix);
  /// \brief Registers this instance and reads the list.
  void readList();

private:
  void post(const std::string &Target, std::string Body,
            HttpClient::Handler OnResult);

  HttpClient &Client_;
  PlatformOptions Options_;
  EventHandler OnEvent_;
  ListHandler OnList_;
  std::string ListVersion_; ///< Version of the last list passed to OnList_.
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_PLATFORMCLIENT_H
