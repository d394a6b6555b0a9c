#include "Session.h"

#include <cstdlib>
#include <fstream>
#include <marjorambend/Configuration>
#include <sstream>

namespace marjorambend::test {

static constexpr Milliseconds WallStart{1'796'000'000'000};
static constexpr Milliseconds TickInterval{10};
static constexpr uint64_t SessionSeed = 42;
static constexpr std::string_view SessionCatalogue =
    R"({"teams":[{"name":"team"}],)"
    R"("kinds":[{"name":"payout","owner":"team","urgency":0,)"
    R"("declared_run_ms":50,"max_run_ms":2000}]})";

// The identities of a session differ in their last digits only.
static std::string shortId(const JobId &Id) {
  return "job-" + formatJobId(Id).substr(32);
}

static std::string describe(const Answer &Reply) {
  std::string Text =
      shortId(Reply.Id_) + ' ' + std::string(outcomeName(Reply.Outcome_));
  if (Reply.Outcome_ != Outcome::Complete)
    Text += ' ' + std::string(reasonName(Reply.Reason_));
  if (Reply.RetryAfter_.Count_ > 0)
    Text += ", come back later";
  for (const std::string &Result : Reply.Results_)
    Text += " [" + Result + ']';
  return Text;
}

namespace {

const char *resultName(TaskResult Result) {
  switch (Result) {
  case TaskResult::Succeeded:
    return "succeeded";
  case TaskResult::Failed:
    return "failed";
  case TaskResult::Refused:
    return "refused, not run";
  case TaskResult::RefusedLeaving:
    return "refused, not run, leaving";
  case TaskResult::NotConnected:
    return "not connected";
  case TaskResult::Lost:
    break;
  }
  return "lost";
}

struct MessageText {
  std::string operator()(const Heartbeat &M) const {
    return "heartbeat, catalogue " + std::to_string(M.CatalogueVersion_) +
           (M.IsStopping_ ? ", stopping" : "");
  }
  std::string operator()(const ForwardedJob &M) const {
    return "forwarded " + shortId(M.Request_.Id_);
  }
  std::string operator()(const ForwardedAnswer &M) const {
    return "answer " + test::describe(*M.Answer_);
  }
  std::string operator()(const ForwardedCancel &M) const {
    return "cancel " + shortId(M.Id_);
  }
  std::string operator()(const CatalogueRequest &) const {
    return "asks for the catalogue";
  }
  std::string operator()(const CatalogueUpdate &M) const {
    return "catalogue " + std::to_string(M.Version_);
  }
  std::string operator()(const DrainUpdate &M) const {
    return "drains, " + std::to_string(M.Map_.Entries_.size()) + " entries";
  }
};

struct EventText {
  std::string operator()(const Tick &) const { return "time passes"; }
  std::string operator()(const JobSubmitted &E) const {
    return "caller " + std::to_string(E.Token_) + " submits " +
           shortId(E.Request_.Id_) + " of " +
           std::to_string(E.Request_.Tasks_.size()) + " tasks";
  }
  std::string operator()(const JobCancelled &E) const {
    return "a caller cancels " + shortId(E.Id_);
  }
  std::string operator()(const CallerGone &E) const {
    return "caller " + std::to_string(E.Token_) + " is gone";
  }
  std::string operator()(const ClaimsAnswered &E) const {
    return "claim batch answered, " + std::to_string(E.Rows_.size()) + " rows";
  }
  std::string operator()(const ClaimsFailed &) const {
    return "claim batch without answer";
  }
  std::string operator()(const TaskFinished &E) const {
    return "send " + std::to_string(E.Send_) + ' ' + resultName(E.Result_);
  }
  std::string operator()(const PeerConnected &E) const {
    return E.Name_ + " connected";
  }
  std::string operator()(const PeerDisconnected &) const {
    return "an instance disconnected";
  }
  std::string operator()(const PeerReceived &E) const {
    return "an instance sends: " + std::visit(MessageText{}, E.Message_);
  }
  std::string operator()(const WorkersListed &E) const {
    return "list with " + std::to_string(E.Workers_.size()) + " workers";
  }
  std::string operator()(const RowRead &E) const {
    return "row " + E.Key_ + " read, version " + std::to_string(E.Version_);
  }
  std::string operator()(const RowReadFailed &E) const {
    return "row " + E.Key_ + " not read";
  }
  std::string operator()(const RowSwapped &E) const {
    return "row " + E.Key_ + " swapped, version " + std::to_string(E.Version_);
  }
  std::string operator()(const RowSwapFailed &E) const {
    return "row " + E.Key_ + " swap without answer";
  }
  std::string operator()(const CatalogueSubmitted &E) const {
    return "operator " + std::to_string(E.Token_) +
           " submits a catalogue, having edited version " +
           std::to_string(E.ExpectedVersion_);
  }
  std::string operator()(const DrainOrdered &E) const {
    return std::string("operator ") + (E.IsDrained_ ? "drains " : "undrains ") +
           E.Target_;
  }
  std::string operator()(const StopOrdered &) const { return "stop on plan"; }
  std::string operator()(const StopForced &) const { return "stop now"; }
};

struct ActionText {
  std::string operator()(const AnswerCaller &A) const {
    return "answer caller " + std::to_string(A.Token_) + ": " +
           test::describe(*A.Answer_);
  }
  std::string operator()(const InsertClaims &A) const {
    std::string Text = "insert claims";
    for (const Claim &Requested : A.Batch_.Claims_)
      Text += ' ' + shortId(Requested.Id_);
    return Text;
  }
  std::string operator()(const SendTask &A) const {
    return "send " + std::to_string(A.Send_) + ": " + shortId(A.Id_) +
           " task " + std::to_string(A.Task_) + " to worker " +
           std::to_string(A.Worker_);
  }
  std::string operator()(const AbortTask &A) const {
    return "abort send " + std::to_string(A.Send_);
  }
  std::string operator()(const SendPeer &A) const {
    return "to instance: " + std::visit(MessageText{}, A.Message_);
  }
  std::string operator()(const ReplaceLink &) const { return "replace link"; }
  std::string operator()(const ReadRow &A) const { return "read " + A.Key_; }
  std::string operator()(const SwapRow &A) const {
    return "swap " + A.Key_ + ", expecting version " +
           std::to_string(A.ExpectedVersion_);
  }
  std::string operator()(const DeleteRows &A) const {
    return "delete rows " + A.Prefix_;
  }
  std::string operator()(const AnswerOperator &A) const {
    std::string Text = "answer operator " + std::to_string(A.Token_) +
                       (A.IsAccepted_ ? ": accepted" : ": refused") +
                       ", version " + std::to_string(A.Version_);
    for (const std::string &Problem : A.Problems_)
      Text += "; " + Problem;
    return Text;
  }
  std::string operator()(const RecordSpan &A) const {
    return "span " + A.Span_.Name_ + ' ' + A.Span_.Note_;
  }
  std::string operator()(const LogChange &A) const { return "log: " + A.Text_; }
};

} // namespace

std::string describe(const Event &NewEvent) {
  return std::visit(EventText{}, NewEvent);
}

std::string describe(const Action &Requested) {
  return std::visit(ActionText{}, Requested);
}

Session::Session(std::string Name, InstanceOptions Options)
    : Name_(std::move(Name)),
      State_(makeInstance(std::move(Options), SessionSeed)), Now_{1'000} {}

void Session::comment(const std::string &Line) { Text_ += "# " + Line + '\n'; }

Actions Session::apply(Event NewEvent) {
  Actions Requested = step(State_, std::move(NewEvent), Now_);
  for (const Action &One : Requested) {
    if (const auto *Send = std::get_if<SendTask>(&One))
      SendsByTask_[{Send->Id_, Send->Task_}] = Send->Send_;
  }
  return Requested;
}

void Session::appendLines(const Event &NewEvent, const Actions &Requested) {
  Text_ += std::to_string(Now_.Count_) + " > " + describe(NewEvent) + '\n';
  for (const Action &One : Requested)
    Text_ += "       < " + describe(One) + '\n';
}

void Session::advanceWithoutTicks(Milliseconds Time) { Now_ = Now_ + Time; }

Actions Session::deliver(Event NewEvent, Milliseconds After) {
  advance(After);
  Actions Requested = apply(NewEvent);
  appendLines(NewEvent, Requested);
  return Requested;
}

// Polls and heartbeats are not recorded; their effects are.
static bool isRoutine(const Action &One) {
  if (std::holds_alternative<ReadRow>(One))
    return true;
  const auto *Sent = std::get_if<SendPeer>(&One);
  return Sent != nullptr && std::holds_alternative<Heartbeat>(Sent->Message_);
}

void Session::advance(Milliseconds Time) {
  const Milliseconds End = Now_ + Time;
  while (Now_ < End) {
    Now_ = std::min(End, Now_ + TickInterval);
    const Event TickEvent = Tick{WallStart + Now_};
    Actions Requested = apply(TickEvent);
    std::erase_if(Requested, isRoutine);
    if (!Requested.empty())
      appendLines(TickEvent, Requested);
  }
}

void Session::prepare() {
  apply(Tick{WallStart + Now_});
  apply(RowRead{.Key_ = std::string(CatalogueKey),
                .Version_ = 1,
                .Value_ = packCatalogue(7, SessionCatalogue)});
  State_.KnowsDrains_ = true;
  std::vector<WorkerSpec> Listed;
  for (const char *Name : {"w0", "w1"})
    Listed.push_back({.Name_ = Name,
                      .DataCentre_ = State_.Options_.DataCentre_,
                      .Slots_ = 2,
                      .Connections_ = 8});
  apply(WorkersListed{Listed});
}

JobRequest Session::job(uint32_t Number, uint32_t Tasks) const {
  Random Generator(Number);
  JobRequest Request{.Id_ = makeJobId(WallStart + Now_, Generator),
                     .Team_ = "team",
                     .Kind_ = "payout",
                     .Timeout_ = Milliseconds{3'000}};
  Request.Id_.Low_ = (Request.Id_.Low_ & ~0xFFFFULL) | Number;
  for (uint32_t Task = 0; Task < Tasks; ++Task)
    Request.Tasks_.push_back("task " + std::to_string(Task));
  return Request;
}

uint64_t Session::findSend(const JobId &Id, uint32_t Task) const {
  const auto Found = SendsByTask_.find({Id, Task});
  return Found == SendsByTask_.end() ? 0 : Found->second;
}

std::string Session::compare() const {
  const std::string Path =
      std::string(MARJORAMBEND_GOLDEN_FOLDER) + '/' + Name_ + ".txt";
  if (std::getenv("MARJORAMBEND_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(Path) << Text_;
    return {};
  }
  std::ifstream File(Path);
  std::istringstream Actual(Text_);
  std::string Expected;
  std::string Line;
  std::size_t Number = 0;
  while (true) {
    ++Number;
    const bool HasExpected = static_cast<bool>(std::getline(File, Expected));
    const bool HasLine = static_cast<bool>(std::getline(Actual, Line));
    if (!HasExpected && !HasLine)
      return {};
    if (HasExpected != HasLine || Expected != Line)
      return Name_ + ".txt:" + std::to_string(Number) + ": expected \"" +
             (HasExpected ? Expected : "the end") + "\", got \"" +
             (HasLine ? Line : "the end") + '"';
  }
}

} // namespace marjorambend::test
