#ifndef MARJORAMBEND_TRANSPORT_CALLERAPI_H
#define MARJORAMBEND_TRANSPORT_CALLERAPI_H

#include "marjorambend/src/Instance/Instance.h"
#include "marjorambend/src/Transport/HttpServer.h"

#include <string>
#include <tl/expected.hpp>

namespace marjorambend {

/// \brief Why a request is not a valid job; the reason determines the status.
struct CallerError {
  Reason Reason_ = Reason::MalformedRequest;
  std::string What_;
};

/// \brief Parses `POST /v1/jobs`: identity, team and timeout from header
/// fields, kind and tasks from the JSON body.
tl::expected<JobRequest, CallerError> parseJob(const HttpRequest &Request,
                                               Milliseconds MaxTimeout);

/// \brief The response that carries an answer.
///
/// Status 200 means complete; 409, 410, 502 and 504 may have run; 503 and all
/// other 4xx not run. The header Marjorambend-Outcome and the JSON member
/// "outcome" carry the same information.
HttpReply formatAnswer(const Answer &Given, bool IsIdempotent);

/// \brief The response to a request that is not a valid job.
HttpReply formatError(const CallerError &Error);

/// \brief The response to `GET /v1/jobs/ID`.
HttpReply formatStatus(const JobId &Id, const std::optional<JobStatus> &Status);

/// \brief The response to `POST /v1/identities`.
HttpReply formatIdentities(std::span<const JobId> Ids);

/// \brief The response to a request that did not arrive in time to be read.
///
/// The job's identity is unknown, so the job may have run through another
/// submission; the outcome is therefore "may have run".
HttpReply formatTooSlow();

/// \brief The response to a request that is not read to its end, because all
/// callers together hold too much.
///
/// The outcome is "may have run", as that of formatTooSlow().
HttpReply formatOverloaded();

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_CALLERAPI_H
