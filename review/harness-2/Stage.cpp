#include "Stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

static const auto Began = std::chrono::steady_clock::now();

int64_t now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Began)
             .count() +
         1'000;
}

void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

static std::mutex RecordLock;
static FILE *Record = nullptr;

void openRecord(const std::string &Path) {
  Record = std::fopen(Path.c_str(), "w");
}

void record(const std::string &Line) {
  const std::lock_guard Guard(RecordLock);
  if (Record == nullptr)
    return;
  std::fprintf(Record, "%9.3f %s\n", static_cast<double>(now()) / 1000,
               Line.c_str());
  std::fflush(Record);
}

// Sockets --------------------------------------------------------------------

static sockaddr_in addressOf(const std::string &Ip, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

static bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

static void resetOnClose(int Socket) {
  const linger Hard{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
}

// Reads a head and a body of known length; false if the connection ends.
static bool readMessage(int Socket, std::string &Buffer, std::string &Head,
                        std::string &Body, int64_t Until) {
  const auto More = [&]() {
    if (Until >= 0) {
      pollfd Wait{.fd = Socket, .events = POLLIN, .revents = 0};
      const int64_t Left = Until - now();
      if (Left <= 0 || poll(&Wait, 1, static_cast<int>(Left)) <= 0)
        return false;
    }
    char Bytes[16384];
    const ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!More())
      return false;
  }
  Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  std::size_t Length = 0;
  std::string Lower = Head;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), ::tolower);
  const std::size_t Field = Lower.find("\r\ncontent-length:");
  if (Field != std::string::npos)
    Length = std::strtoul(Lower.c_str() + Field + 17, nullptr, 10);
  while (Buffer.size() < Length) {
    if (!More())
      return false;
  }
  Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

Server::Server(std::string Address, uint16_t Port, Handler OnRequest)
    : OnRequest_(std::move(OnRequest)) {
  Listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = addressOf(Address, Port);
  if (bind(Listener_, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      listen(Listener_, 512) != 0) {
    std::perror("stage: cannot listen");
    std::exit(2);
  }
  socklen_t Size = sizeof(At);
  getsockname(Listener_, reinterpret_cast<sockaddr *>(&At), &Size);
  Port_ = ntohs(At.sin_port);
  Acceptor_ = std::thread([this] { accept(); });
}

Server::~Server() { close(); }

void Server::close() {
  if (IsClosed_.exchange(true))
    return;
  shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  ::close(Listener_);
  for (;;) {
    {
      const std::lock_guard Guard(Lock_);
      if (Sockets_.empty())
        return;
      for (const int Socket : Sockets_) {
        resetOnClose(Socket);
        shutdown(Socket, SHUT_RDWR);
      }
    }
    sleepMs(2);
  }
}

void Server::accept() {
  while (!IsClosed_) {
    const int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0) {
      if (IsClosed_)
        return;
      continue;
    }
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    {
      const std::lock_guard Guard(Lock_);
      Sockets_.insert(Socket);
    }
    std::thread([this, Socket] { serve(Socket); }).detach();
  }
}

static Request parseRequest(const std::string &Head, std::string Body) {
  Request R;
  R.Body_ = std::move(Body);
  const std::size_t LineEnd = Head.find("\r\n");
  const std::string Line = Head.substr(0, LineEnd);
  const std::size_t First = Line.find(' ');
  const std::size_t Second = Line.find(' ', First + 1);
  R.Method_ = Line.substr(0, First);
  const std::string Target = Line.substr(First + 1, Second - First - 1);
  const std::size_t Mark = Target.find('?');
  R.Path_ = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    R.Query_ = Target.substr(Mark + 1);
  std::size_t At = LineEnd + 2;
  while (At < Head.size()) {
    const std::size_t End = Head.find("\r\n", At);
    const std::string Field = Head.substr(At, End - At);
    const std::size_t Colon = Field.find(':');
    if (Colon != std::string::npos) {
      std::string Name = Field.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      std::size_t From = Colon + 1;
      while (From < Field.size() && Field[From] == ' ')
        ++From;
      R.Headers_[Name] = Field.substr(From);
    }
    if (End == std::string::npos)
      break;
    At = End + 2;
  }
  return R;
}

void Server::serve(int Socket) {
  std::string Buffer;
  std::string Head;
  std::string Body;
  while (!IsClosed_ && readMessage(Socket, Buffer, Head, Body, -1)) {
    const Reply Given = OnRequest_(parseRequest(Head, Body));
    if (IsClosed_ || Given.Status_ == 0) {
      resetOnClose(Socket);
      break;
    }
    const std::string Text =
        "HTTP/1.1 " + std::to_string(Given.Status_) +
        " OK\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Given.Body_.size()) + "\r\n\r\n" + Given.Body_;
    if (!sendAll(Socket, Text))
      break;
  }
  ::close(Socket);
  const std::lock_guard Guard(Lock_);
  Sockets_.erase(Socket);
}

// Store ----------------------------------------------------------------------

static const char Digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    const std::size_t Left = std::min<std::size_t>(3, Bytes.size() - I);
    uint32_t Group = 0;
    for (std::size_t K = 0; K < 3; ++K)
      Group = Group << 8U |
              (K < Left ? static_cast<unsigned char>(Bytes[I + K]) : 0U);
    for (std::size_t K = 0; K < 4; ++K)
      Text += K <= Left ? Digits[Group >> (18 - 6 * K) & 63U] : '=';
  }
  return Text;
}

static std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char C : Text) {
    const char *Found = C == '=' ? nullptr : std::strchr(Digits, C);
    if (Found == nullptr || *Found == 0)
      break;
    Group = Group << 6U | static_cast<uint32_t>(Found - Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255U);
    }
  }
  return Bytes;
}

static std::map<std::string, std::string> parseQuery(const std::string &Text) {
  std::map<std::string, std::string> Fields;
  std::size_t At = 0;
  while (At < Text.size()) {
    const std::size_t End = std::min(Text.find('&', At), Text.size());
    const std::string One = Text.substr(At, End - At);
    const std::size_t Mark = One.find('=');
    std::string Value;
    for (std::size_t I = Mark + 1; Mark != std::string::npos && I < One.size();
         ++I) {
      if (One[I] == '%' && I + 2 < One.size()) {
        Value += static_cast<char>(
            std::strtol(One.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Value += One[I];
      }
    }
    Fields[One.substr(0, Mark)] = Value;
    At = End + 1;
  }
  return Fields;
}

Store::Store() {
  Server_ = std::make_unique<Server>(
      "127.0.0.1", 0, [this](const Request &R) { return handle(R); });
}

void Store::write(const std::string &Table, const std::string &Key,
                  const std::string &Value) {
  const std::lock_guard Guard(Lock_);
  Tables_[Table][Key] = {Value, ++Version_, false};
  Changed_.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  const std::lock_guard Guard(Lock_);
  Row &Known = Tables_[Table][Key];
  Known = {"", ++Version_, true};
  Changed_.notify_all();
}

std::vector<std::string> Store::keys(const std::string &Table) {
  const std::lock_guard Guard(Lock_);
  std::vector<std::string> Keys;
  for (const auto &[Key, Known] : Tables_[Table]) {
    if (!Known.IsDeleted_)
      Keys.push_back(Key);
  }
  return Keys;
}

std::size_t Store::rows(const std::string &Table) { return keys(Table).size(); }

Reply Store::get(const std::map<std::string, std::string> &Query) {
  const std::lock_guard Guard(Lock_);
  const std::string Table = Query.at("table");
  Json Rows = Json::array();
  bool HasMore = false;
  const auto From = Query.find("from");
  for (const auto &[Key, Known] : Tables_[Table]) {
    if (Known.IsDeleted_ || (From != Query.end() && Key < From->second))
      continue;
    if (Rows.size() >= 500) {
      HasMore = true;
      break;
    }
    Rows.push_back({{"table", Table},
                    {"part", ""},
                    {"key", Key},
                    {"value", encodeBase64(Known.Value_)},
                    {"schema_version", Known.Version_}});
  }
  return {200, Json{{"rows", Rows},
                    {"has_more", HasMore},
                    {"schema_version", Version_},
                    {"now_ms", now()}}
                   .dump()};
}

Reply Store::feed(const std::map<std::string, std::string> &Query) {
  std::unique_lock Guard(Lock_);
  const std::string Table = Query.at("table");
  const uint64_t After = std::strtoull(Query.at("after").c_str(), nullptr, 10);
  const int64_t Wait =
      Query.count("wait_ms") != 0
          ? std::strtoll(Query.at("wait_ms").c_str(), nullptr, 10)
          : 0;
  const int64_t Until = now() + Wait;
  for (;;) {
    std::map<uint64_t, Json> Rows;
    for (const auto &[Key, Known] : Tables_[Table]) {
      if (Known.Version_ <= After)
        continue;
      Json Row{{"table", Table},
               {"part", ""},
               {"key", Key},
               {"schema_version", Known.Version_}};
      if (Known.IsDeleted_)
        Row["deleted"] = true;
      else
        Row["value"] = encodeBase64(Known.Value_);
      Rows[Known.Version_] = Row;
    }
    const int64_t Left = Until - now();
    if (!Rows.empty() || Left <= 0) {
      Json List = Json::array();
      for (const auto &[Number, Row] : Rows)
        List.push_back(Row);
      return {
          200,
          Json{{"rows", List}, {"schema_version", Version_}, {"now_ms", now()}}
              .dump()};
    }
    Changed_.wait_for(Guard, std::chrono::milliseconds(Left));
  }
}

Reply Store::transact(const Json &Body) {
  const std::lock_guard Guard(Lock_);
  ++Version_;
  for (const Json &One : Body.value("write", Json::array()))
    Tables_[One["table"]][One["key"]] = {decodeBase64(One["value"]), Version_,
                                         false};
  for (const Json &One : Body.value("remove", Json::array())) {
    Row &Known = Tables_[One["table"]][One["key"]];
    if (Known.Version_ != 0)
      Known = {"", Version_, true};
  }
  Changed_.notify_all();
  return {200, Json{{"schema_version", Version_}, {"now_ms", now()}}.dump()};
}

Reply Store::handle(const Request &R) {
  sleepMs(R.Method_ == "POST" ? 4 : 1);
  if (R.Path_ == "/rows-get")
    return get(parseQuery(R.Query_));
  if (R.Path_ == "/rows-feed")
    return feed(parseQuery(R.Query_));
  if (R.Path_ == "/rows-tx")
    return transact(Json::parse(R.Body_));
  return {404, "{}"};
}

// Workers --------------------------------------------------------------------

static std::mutex StartsLock;
static std::vector<Start> AllStarts;
static std::map<std::string, int64_t> CpuOfJob;
static std::atomic<int> Overloads{0};

std::vector<Start> starts() {
  const std::lock_guard Guard(StartsLock);
  return AllStarts;
}

void noteJob(const std::string &Id, int64_t Cpu) {
  const std::lock_guard Guard(StartsLock);
  CpuOfJob[Id] = Cpu;
}

int overloads() { return Overloads; }

static int64_t cpuOf(const std::string &Task) {
  const std::lock_guard Guard(StartsLock);
  const auto Found = CpuOfJob.find(Task.substr(0, 16));
  return Found == CpuOfJob.end() ? 0 : Found->second;
}

Worker::Worker(Store &Known, WorkerOptions Options)
    : Store_(Known), Options_(std::move(Options)) {
  restart();
  Ticker_ = std::thread([this] { tick(); });
}

Worker::~Worker() {
  IsOver_ = true;
  Ended_.notify_all();
  Ticker_.join();
  if (Server_)
    Server_->close();
}

void Worker::restart(std::optional<std::vector<std::string>> Labels) {
  if (Labels)
    Options_.Labels_ = *Labels;
  {
    const std::lock_guard Guard(Lock_);
    BornAt_ = now();
    Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    Token_ = 0;
    Lease_ = 0;
    NextEnd_ = 1;
    Sequence_ = 0;
    IsDraining_ = false;
    Running_.clear();
    Over_.clear();
    Ends_.clear();
  }
  Server_ = std::make_unique<Server>(
      "127.0.0.1", Port_, [this](const Request &R) { return handle(R); });
  Port_ = Server_->port();
  IsUp_ = true;
  report();
  record("worker " + Options_.Id_ + " is up");
}

void Worker::crash() {
  record("worker " + Options_.Id_ + " crashes");
  {
    const std::lock_guard Guard(Lock_);
    IsUp_ = false;
    while (!Running_.empty())
      end(Running_.begin()->first, "crashed");
    Ended_.notify_all();
  }
  Server_->close();
}

void Worker::drain() {
  {
    const std::lock_guard Guard(Lock_);
    IsDraining_ = true;
  }
  report();
  record("worker " + Options_.Id_ + " drains");
}

void Worker::report() {
  Json Row;
  {
    const std::lock_guard Guard(Lock_);
    Row = {{"service", Options_.Service_},
           {"address", "127.0.0.1:" + std::to_string(Port_)},
           {"zone", Options_.Zone_},
           {"version", "v1"},
           {"slots", 8},
           {"state", IsDraining_ ? "draining" : "ready"},
           {"cold_remaining_ms", 0},
           {"capacity",
            {{"cpu", Options_.Cpu_}, {"mem_mb", Options_.MemMb_}, {"gpu", 0}}},
           {"labels", Options_.Labels_},
           {"clock_ms", clock()},
           {"born", Born_},
           {"sequence", ++Sequence_}};
    if (IsDraining_)
      Row["remaining_ms"] = 2000;
  }
  Store_.write("servers", Options_.Id_, Row.dump());
}

// With the lock held.
void Worker::end(std::string Task, const std::string &How) {
  const auto Found = Running_.find(Task);
  const uint32_t Attempt = Found->second.first;
  Running_.erase(Found);
  Over_[Task] = std::max(Over_[Task], Attempt);
  Ends_.push_back({NextEnd_++, Task, Attempt, How});
  record("worker " + Options_.Id_ + ": run " + Task + " attempt " +
         std::to_string(Attempt) + " ends " + How);
  const std::lock_guard Guard(StartsLock);
  for (auto It = AllStarts.rbegin(); It != AllStarts.rend(); ++It) {
    if (It->Task_ == Task && It->Attempt_ == Attempt &&
        It->Worker_ == Options_.Id_ && It->EndedAt_ < 0) {
      It->EndedAt_ = now();
      It->How_ = How;
      return;
    }
  }
}

void Worker::tick() {
  int64_t NextReport = now() + 1500;
  while (!IsOver_) {
    sleepMs(5);
    if (!IsUp_)
      continue;
    if (now() >= NextReport) {
      NextReport = now() + 1500;
      report();
    }
    const std::lock_guard Guard(Lock_);
    std::vector<std::pair<std::string, std::string>> Over;
    for (const auto &[Task, One] : Running_) {
      if (clock() >= Lease_)
        Over.emplace_back(Task, "lapsed");
      else if (now() - One.second.StartedAt_ >= One.second.Length_)
        Over.emplace_back(Task, "done");
    }
    for (const auto &[Task, How] : Over)
      end(Task, How);
    if (!Over.empty())
      Ended_.notify_all();
  }
}

std::size_t Worker::running() {
  const std::lock_guard Guard(Lock_);
  return Running_.size();
}

Json Worker::stamped(Json Body) const {
  Body["clock_ms"] = clock();
  Body["born"] = Born_;
  return Body;
}

Reply Worker::start(const Json &Body) {
  const std::string Task = Body["task"];
  const uint32_t Attempt = Body["attempt"];
  const std::string Spec = Body["spec"];
  const auto Reject = [&](const char *Why) {
    return Reply{409, stamped({{"reason", Why}}).dump()};
  };
  const int64_t Deadline = Body["deadline_ms"];
  const auto Found = Running_.find(Task);
  if (Found != Running_.end() && Found->second.first == Attempt) {
    Lease_ = std::max(Lease_, std::min(Deadline, clock() + 1000));
    return {200, stamped({}).dump()};
  }
  if (Over_.count(Task) != 0 && Over_[Task] >= Attempt)
    return Reject("old");
  if (Found != Running_.end())
    return Reject(Found->second.first > Attempt ? "old" : "room");
  if (std::max(Deadline, Lease_) <= clock())
    return Reject("late");
  const int64_t Needs = cpuOf(Task);
  int64_t Used = Needs;
  for (const auto &[Other, One] : Running_)
    Used += One.second.Cpu_;
  if (Used > Options_.Cpu_) {
    if (Options_.RejectsOverload_)
      return Reject("room");
    ++Overloads;
    record("OVERLOAD: worker " + Options_.Id_ + " is started " + Task +
           " and would use " + std::to_string(Used));
  }
  Lease_ = std::max(Lease_, std::min(Deadline, clock() + 1000));
  int64_t Length = 100;
  if (Spec.rfind("run=", 0) == 0)
    Length = std::strtoll(Spec.c_str() + 4, nullptr, 10);
  Running_[Task] = {Attempt, {now(), Length, Needs}};
  record("worker " + Options_.Id_ + ": starts " + Task + " attempt " +
         std::to_string(Attempt));
  const std::lock_guard Guard(StartsLock);
  AllStarts.push_back({.At_ = now(),
                       .Worker_ = Options_.Id_,
                       .Task_ = Task,
                       .Attempt_ = Attempt,
                       .Spec_ = Spec});
  return {200, stamped({}).dump()};
}

Reply Worker::stop(const Json &Body) {
  const std::string Task = Body["task"];
  const uint32_t Attempt = Body["attempt"];
  Over_[Task] = std::max(Over_[Task], Attempt);
  const auto Found = Running_.find(Task);
  if (Found != Running_.end() && Found->second.first <= Attempt) {
    end(Task, "stopped");
    Ended_.notify_all();
  }
  return {200, stamped({}).dump()};
}

Reply Worker::hold(const Json &Body) {
  const uint64_t Acked = Body.value("acked_through", uint64_t{0});
  std::erase_if(Ends_, [Acked](const End &E) { return E.Number_ <= Acked; });
  if (Body.contains("deadline_ms"))
    Lease_ = std::max(
        Lease_, std::min(Body["deadline_ms"].get<int64_t>(), clock() + 1000));
  Json Running = Json::array();
  for (const auto &[Task, One] : Running_)
    Running.push_back(
        {Task, One.first, "",
         std::min<int64_t>(100, (now() - One.second.StartedAt_) * 100 /
                                    std::max<int64_t>(1, One.second.Length_)),
         One.second.Cpu_});
  Json Finished = Json::array();
  for (const End &E : Ends_) {
    if (Finished.size() < 500)
      Finished.push_back({E.Number_, E.Task_, E.Attempt_, E.How_, ""});
  }
  return {200, stamped({{"running", Running}, {"finished", Finished}}).dump()};
}

Reply Worker::handle(const Request &R) {
  if (R.Path_ == "/healthz")
    return {200, "{}"};
  const Json Body = Json::parse(R.Body_, nullptr, false);
  if (!Body.is_object())
    return {400, "{}"};
  std::unique_lock Guard(Lock_);
  if (!IsUp_)
    return {0, ""};
  const auto Expected = R.Headers_.find("expect-instance");
  if (Expected != R.Headers_.end() && Expected->second != Options_.Id_)
    return {421, stamped({}).dump()};
  const uint64_t Token = Body.value("fencing_token", uint64_t{0});
  if (Token < Token_)
    return {409, stamped({{"reason", "fence"}}).dump()};
  if (Token > Token_)
    ClaimedAt_ = now();
  Token_ = Token;
  if (R.Path_ == "/run-start") {
    const Reply Given = start(Body);
    if (LoseStartAnswers_ > 0) {
      --LoseStartAnswers_;
      return {0, ""};
    }
    return Given;
  }
  if (R.Path_ == "/run-stop")
    return stop(Body);
  if (R.Path_ != "/hold")
    return {404, "{}"};
  const int64_t Until = now() + Body.value("wait_ms", int64_t{0});
  const uint64_t Acked = Body.value("acked_through", uint64_t{0});
  const int64_t Born = Born_;
  const auto HasNews = [&] {
    return IsOver_ || !IsUp_ || Born_ != Born ||
           std::any_of(Ends_.begin(), Ends_.end(),
                       [Acked](const End &E) { return E.Number_ > Acked; });
  };
  // The lease counts from the arrival, not from the answer.
  if (Body.contains("deadline_ms"))
    Lease_ = std::max(
        Lease_, std::min(Body["deadline_ms"].get<int64_t>(), clock() + 1000));
  if (Until > now())
    Ended_.wait_for(Guard, std::chrono::milliseconds(Until - now()), HasNews);
  return hold(Body);
}

// Instances ------------------------------------------------------------------

Instance::Instance(const std::string &Folder, uint16_t StorePort,
                   InstanceOptions Options, std::vector<std::string> Seeds)
    : Folder_(Folder), Options_(std::move(Options)) {
  Settings_ = Folder_ + "/" + Options_.Name_ + ".yaml";
  std::ofstream Out(Settings_);
  Out << "node_name: \"" << Options_.Name_ << "\"\nrole: \"instance\"\n"
      << "machine_class: \"edge\"\nserves: [\"edge\", \"control\"]\n"
      << "ip: \"" << Options_.Ip_ << "\"\nzone: \"" << Options_.Zone_
      << "\"\nregion: \"r\"\nzones: {z1: \"r\", z2: \"r\", z3: \"r\"}\n"
      << "listen_addrs:\n  frontend: \"" << Options_.Ip_ << ":" << FrontPort
      << "\"\n  readiness: \"" << Options_.Ip_ << ":8167\"\n  control_plane: \""
      << Options_.Ip_ << ":8166\"\n"
      << "internal_port_range: [7720, 7735]\nseeds:\n";
  for (const std::string &Seed : Seeds)
    Out << "  - \"" << Seed << ":8166\"\n";
  Out << "bootstrap: true\nfault_counted: false\nlimits: {cpu_share: "
      << Options_.CpuShare_
      << R"(, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, downgrade_slack_ms: 250, max_extension_ms: 5000, recovery_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 2, save_s: 0.5, restore_ms: 100, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, fencing_enforced: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000, resend_ms: 1300}
commands: "invoke"
recommendation: "127.0.0.1:9"
)"
      << "platform: {address: \"127.0.0.1:" << StorePort
      << "\", form: \"table\", writes_per_s: 800, reads_per_s: 2000, tx_ms: "
         "4.0, partition_writes_s: 250, row_bytes: 65536, cross_partition: "
         "true, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, "
         "blob_mb_s: 80.0}\n"
      << "cloud_api: {address: \"127.0.0.1:9\", rate_per_s: 60.0, duties: [], "
         "duty_per_s: 60.0}\n";
}

Instance::~Instance() {
  if (Pid_ <= 0)
    return;
  kill(Pid_, SIGCONT);
  kill(Pid_, SIGKILL);
  waitpid(Pid_, nullptr, 0);
}

void Instance::start() {
  const pid_t Parent = getpid();
  const std::string Log = Folder_ + "/" + Options_.Name_ + ".log";
  const std::string Variable = "MARJORAMBEND_NODE_FILE=" + Settings_;
  const char *Path = "target/daemon/marjorambend";
  Pid_ = fork();
  if (Pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(1);
    const int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    const char *Arguments[] = {Path, "platform",
                               "--admission_policy=least_cost", nullptr};
    const char *Environment[] = {Variable.c_str(), nullptr};
    execve(Path, const_cast<char **>(Arguments),
           const_cast<char **>(Environment));
    _exit(127);
  }
  record("instance " + Options_.Name_ + " is started");
}

void Instance::signal(int Number) {
  record("instance " + Options_.Name_ + " gets signal " +
         std::to_string(Number));
  kill(Pid_, Number);
  if (Number == SIGKILL) {
    waitpid(Pid_, nullptr, 0);
    Pid_ = -1;
  }
}

bool Instance::isRunning() { return Pid_ > 0 && !wait(0); }

std::optional<int> Instance::wait(int64_t Ms) {
  const int64_t Until = now() + Ms;
  do {
    int Status = 0;
    if (Pid_ <= 0)
      return 0;
    if (waitpid(Pid_, &Status, WNOHANG) == Pid_) {
      Pid_ = -1;
      record("instance " + Options_.Name_ + " has ended, status " +
             std::to_string(Status));
      return Status;
    }
    if (Ms > 0)
      sleepMs(5);
  } while (now() < Until);
  return std::nullopt;
}

bool Instance::isReady() {
  return call(Options_.Ip_, 8167, "GET", "/readyz", "", 500).Status_ == 200;
}

// Clients --------------------------------------------------------------------

int dial(const std::string &Ip, uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in At = addressOf(Ip, Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) !=
      0) {
    ::close(Socket);
    return -1;
  }
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

std::string formatRequest(const std::string &Method, const std::string &Path,
                          const std::string &Body, const std::string &Host,
                          int64_t DeadlineMs) {
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nContent-Type: application/json\r\n";
  if (DeadlineMs > 0)
    Text += "Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

Answer readAnswer(int Socket, int64_t TimeoutMs) {
  std::string Buffer;
  std::string Head;
  Answer Given;
  if (readMessage(Socket, Buffer, Head, Given.Body_, now() + TimeoutMs))
    Given.Status_ = std::atoi(Head.c_str() + 9);
  return Given;
}

Answer call(const std::string &Ip, uint16_t Port, const std::string &Method,
            const std::string &Path, const std::string &Body, int64_t TimeoutMs,
            const std::string &Host, int64_t DeadlineMs) {
  const int Socket = dial(Ip, Port);
  if (Socket < 0)
    return {.Status_ = -1};
  Answer Given;
  if (sendAll(Socket, formatRequest(Method, Path, Body, Host, DeadlineMs)))
    Given = readAnswer(Socket, TimeoutMs);
  ::close(Socket);
  return Given;
}

std::string jobBody(int Count, int64_t Cpu, int64_t EstimateMs,
                    const std::string &Spec, int AntiAffinity,
                    const std::string &Label) {
  Json Phase{{"count", Count},
             {"cpu", Cpu},
             {"mem_mb", 16},
             {"estimate_ms", EstimateMs}};
  if (AntiAffinity > 0)
    Phase["anti_affinity"] = AntiAffinity;
  if (!Label.empty())
    Phase["requirements"] = Label;
  return Json{
      {"spec", Spec}, {"best_effort", true}, {"phases", Json::array({Phase})}}
      .dump();
}

std::string jobId(uint64_t Number) {
  char Text[20];
  std::snprintf(
      Text, sizeof(Text), "%016llx",
      static_cast<unsigned long long>(0x5c0e000000000000ULL + Number));
  return Text;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

// Processor shares of the entry machines of apck-karite, by zone.
static const std::vector<std::vector<double>> SmallSite{
    {0.62, 0.19, 0.19, 0.19}, {0.25, 0.25, 0.25}, {0.25, 0.25}};

Deployment::Deployment(const std::string &Folder,
                       std::vector<int> WorkersByZone, WorkerOptions Like)
    : Folder_(Folder) {
  std::signal(SIGPIPE, SIG_IGN);
  writeConfig(7);
  const int Net = 1 + getpid() % 200;
  const int Sub = 1 + getpid() / 200 % 200;
  const auto IpOf = [&](std::size_t Zone, std::size_t Index) {
    return "127." + std::to_string(Net) + "." + std::to_string(Sub) + "." +
           std::to_string(Zone * 20 + Index + 10);
  };
  std::vector<std::string> Seeds;
  for (std::size_t Zone = 0; Zone < SmallSite.size(); ++Zone)
    Seeds.push_back(IpOf(Zone, 0));
  for (std::size_t Zone = 0; Zone < SmallSite.size(); ++Zone) {
    const std::string Name = "z" + std::to_string(Zone + 1);
    for (int I = 0; I < WorkersByZone[Zone]; ++I) {
      WorkerOptions One = Like;
      One.Id_ = "i-" + Name + "-" + std::to_string(I);
      One.Zone_ = Name;
      One.Labels_.push_back("kind-" + Name);
      Workers_.push_back(std::make_unique<Worker>(Store_, One));
    }
    for (std::size_t I = 0; I < SmallSite[Zone].size(); ++I)
      Instances_.push_back(std::make_unique<Instance>(
          Folder_, Store_.port(),
          InstanceOptions{.Name_ = "edge-" + Name + "-" + std::to_string(I + 1),
                          .Zone_ = Name,
                          .Ip_ = IpOf(Zone, I),
                          .CpuShare_ = SmallSite[Zone][I]},
          Seeds));
  }
}

Deployment::~Deployment() { Instances_.clear(); }

void Deployment::writeConfig(uint64_t Version, int MaxAttempts) {
  const Json Route{{"name", "r-jobs"},
                   {"host", "shop.example"},
                   {"path_prefix", "/jobs/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 60000},
                   {"target_latency_ms", 60000},
                   {"priority", 0},
                   {"service", "desk"},
                   {"max_attempts", MaxAttempts},
                   {"stretch_factor", 4.0}};
  const Json Service{{"name", "desk"},        {"health_path", "/healthz"},
                     {"max_connections", 64}, {"protocol", "h1"},
                     {"tls", false},          {"rejects_overload", true},
                     {"standby", false}};
  Store_.write("op", "config",
               Json{{"version", Version},
                    {"routes", Json::array({Route})},
                    {"services", Json::array({Service})},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 262144},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}}
                   .dump());
}

bool Deployment::begin() {
  for (const auto &One : Instances_)
    One->start();
  const int64_t Until = now() + 10'000;
  while (now() < Until) {
    const bool AreReady =
        std::all_of(Instances_.begin(), Instances_.end(),
                    [](const auto &One) { return One->isReady(); });
    if (AreReady) {
      sleepMs(1500);
      return true;
    }
    sleepMs(50);
  }
  return false;
}

} // namespace stage
