#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

int64_t nowMs() {
  using namespace std::chrono;
  static const auto Start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - Start).count();
}

void sleepMs(int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

static sockaddr_in addressOf(const std::string &Ip, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::vector<uint16_t> freePorts(std::size_t Count) {
  std::vector<uint16_t> Ports;
  std::vector<int> Sockets;
  while (Ports.size() < Count) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    socklen_t Length = sizeof(Address);
    ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address), Length);
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    Ports.push_back(ntohs(Address.sin_port));
    Sockets.push_back(Socket);
  }
  for (const int Socket : Sockets)
    ::close(Socket);
  return Ports;
}

Stream &Stream::operator=(Stream &&Other) noexcept {
  close();
  Socket_ = std::exchange(Other.Socket_, -1);
  Input_ = std::move(Other.Input_);
  return *this;
}

Stream Stream::dial(const std::string &Ip, uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Socket);
    return Stream();
  }
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Stream(Socket);
}

bool Stream::send(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket_, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Stream::fill(int64_t UntilMs) {
  pollfd Wait{.fd = Socket_, .events = POLLIN, .revents = 0};
  const int64_t Left = UntilMs - nowMs();
  if (Socket_ < 0 || Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[16384];
  const ssize_t Count = ::recv(Socket_, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  Input_.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Stream::fillTo(std::size_t Bytes, int64_t UntilMs) {
  while (Input_.size() < Bytes) {
    if (!fill(UntilMs))
      return false;
  }
  return true;
}

std::optional<std::size_t> Stream::readHeader(int64_t UntilMs) {
  std::size_t End = 0;
  while ((End = Input_.find("\r\n\r\n")) == std::string::npos) {
    if (!fill(UntilMs))
      return std::nullopt;
  }
  return End + 4;
}

static std::map<std::string, std::string> fieldsOf(const std::string &Header) {
  std::map<std::string, std::string> Fields;
  std::istringstream Lines(Header);
  std::string Line;
  std::getline(Lines, Line);
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char Byte) { return std::tolower(Byte); });
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Fields[Name] = Value == std::string::npos ? "" : Line.substr(Value);
  }
  return Fields;
}

static std::size_t lengthIn(const std::map<std::string, std::string> &Headers) {
  const auto Found = Headers.find("content-length");
  return Found == Headers.end() ? 0 : std::stoul(Found->second);
}

std::optional<Response> Stream::readResponse(int64_t TimeoutMs) {
  const int64_t Until = nowMs() + TimeoutMs;
  const auto Header = readHeader(Until);
  if (!Header)
    return std::nullopt;
  const std::string Text = Input_.substr(0, *Header);
  const std::size_t Length = lengthIn(fieldsOf(Text));
  if (!fillTo(*Header + Length, Until))
    return std::nullopt;
  Response Read{.Status_ = std::stoi(Text.substr(Text.find(' ') + 1)),
                .Body_ = Input_.substr(*Header, Length)};
  Input_.erase(0, *Header + Length);
  return Read;
}

static std::string decodePercent(const std::string &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded.push_back(
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16)));
      At += 2;
    } else {
      Decoded.push_back(Text[At]);
    }
  }
  return Decoded;
}

std::optional<Request> Stream::readRequest() {
  static constexpr int64_t Long = 600'000;
  const auto Header = readHeader(nowMs() + Long);
  if (!Header)
    return std::nullopt;
  const std::string Text = Input_.substr(0, *Header);
  Request Read{.Headers_ = fieldsOf(Text)};
  const std::size_t Length = lengthIn(Read.Headers_);
  if (!fillTo(*Header + Length, nowMs() + Long))
    return std::nullopt;
  std::istringstream Line(Text);
  std::string Target;
  Line >> Read.Method_ >> Target;
  const std::size_t Mark = std::min(Target.find('?'), Target.size());
  Read.Path_ = Target.substr(0, Mark);
  std::istringstream Pairs(Target.substr(std::min(Mark + 1, Target.size())));
  std::string Pair;
  while (std::getline(Pairs, Pair, '&')) {
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Read.Query_[Pair.substr(0, Equals)] =
          decodePercent(Pair.substr(Equals + 1));
  }
  Read.Body_ = Input_.substr(*Header, Length);
  Input_.erase(0, *Header + Length);
  return Read;
}

void Stream::close() {
  if (Socket_ >= 0)
    ::close(Socket_);
  Socket_ = -1;
}

Server::Server(std::string Ip, uint16_t Port, Handler OnRequest)
    : OnRequest_(std::move(OnRequest)) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (::bind(Listener_, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Listener_, 512) != 0)
    throw std::runtime_error("cannot listen on " + Ip);
  Acceptor_ = std::thread([this] { accept(); });
}

Server::~Server() {
  IsStopped_ = true;
  ::shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  ::close(Listener_);
  {
    const std::lock_guard Guard(Lock_);
    for (const int Socket : Open_)
      ::shutdown(Socket, SHUT_RDWR);
  }
  for (std::thread &One : Threads_)
    One.join();
}

void Server::accept() {
  while (!IsStopped_) {
    const int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const std::lock_guard Guard(Lock_);
    Open_.push_back(Socket);
    Threads_.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Server::serve(int Socket) {
  Stream Channel(Socket);
  while (!IsStopped_) {
    const auto Read = Channel.readRequest();
    if (!Read)
      break;
    const Response Reply = OnRequest_(*Read);
    if (Reply.IsDropped_)
      break;
    std::string Text = "HTTP/1.1 " + std::to_string(Reply.Status_) + " Status";
    Text.append("\r\nContent-Type: application/json\r\nContent-Length: ")
        .append(std::to_string(Reply.Body_.size()))
        .append("\r\n\r\n")
        .append(Reply.Body_);
    if (!Channel.send(Text))
      break;
  }
  const std::lock_guard Guard(Lock_);
  std::erase(Open_, Socket);
}

std::string formatRequest(const std::string &Method, const std::string &Path,
                          const std::map<std::string, std::string> &Headers,
                          const std::string &Body) {
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (!Body.empty())
    Text.append("Content-Type: application/json\r\n");
  return Text.append("Content-Length: ")
      .append(std::to_string(Body.size()))
      .append("\r\n\r\n")
      .append(Body);
}

std::optional<Response> call(const std::string &Ip, uint16_t Port,
                             const std::string &Text, int64_t TimeoutMs) {
  Stream Channel = Stream::dial(Ip, Port);
  if (!Channel.isOpen() || !Channel.send(Text))
    return std::nullopt;
  return Channel.readResponse(TimeoutMs);
}

} // namespace review
