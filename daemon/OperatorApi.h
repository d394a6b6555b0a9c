#ifndef MARJORAMBEND_DAEMON_OPERATORAPI_H
#define MARJORAMBEND_DAEMON_OPERATORAPI_H

#include <marjorambend/Instance>
#include <marjorambend/Transport>
#include <string>

namespace marjorambend {

/// \brief Whether a request presents the operators' secret.
bool isAuthorised(const HttpRequest &Request, std::string_view Secret);

/// \brief `GET /v1/status`: the instance, its peers, its workers, the list.
std::string formatInstance(const Instance &State, const PlatformList &List,
                           Milliseconds Now);

/// \brief `GET /v1/catalogue`: version and text in force.
std::string formatCatalogue(const ConfigState &Config);

/// \brief `GET /v1/drains`.
std::string formatDrainList(const DrainMap &Map);

/// \brief Answer to a change of the catalogue.
HttpReply formatChange(const AnswerOperator &Answered);

/// \brief An error for an operator: a message that says what to do.
HttpReply operatorError(uint16_t Status, std::string_view Message);

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_OPERATORAPI_H
