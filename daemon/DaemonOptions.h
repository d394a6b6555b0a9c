#ifndef MARJORAMBEND_DAEMON_DAEMONOPTIONS_H
#define MARJORAMBEND_DAEMON_DAEMONOPTIONS_H

#include <cstdint>
#include <marjorambend/Instance>
#include <marjorambend/Transport>

namespace marjorambend {

/// \brief Options of the decisions.
InstanceOptions instanceOptions(const SettingsT &S);

/// \brief The seed of the settings, or a random one if it is 0.
uint64_t seedOf(const SettingsT &S);

/// \brief What the platform's list shows of the instance.
InstanceSpec specOf(const SettingsT &S);

HttpServerOptions callerServerOptions(const SettingsT &S);
HttpServerOptions operatorServerOptions(const SettingsT &S);

/// \brief Options of the client for backends and the platform.
HttpClientOptions clientOptions(const SettingsT &S);

/// \brief Options of the links to other instances.
PeerLinkOptions linkOptions(const SettingsT &S, Incarnation Self);

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_DAEMONOPTIONS_H
