#include "customers/quota_exchange.h"

#include <algorithm>

#include "net/log_line.h"

namespace lentilhead::customers {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{20};
// Above the pauses of a node with little processor time.
constexpr milliseconds kStallThreshold{400};
constexpr int kAnnouncements = 2;  // because some datagrams are lost
constexpr milliseconds kAnnouncementPeriod{300};
constexpr std::size_t kMaxDatagramBytes = 2048;
// A wait is a few answer times long; the longest one is a stall of this process.
constexpr milliseconds kMaxWait{2000};
constexpr milliseconds kFailedRetryAfter{500};

}  // namespace

QuotaExchange::QuotaExchange(net::asio::any_io_executor executor, framework::Metrics& metrics,
                             const net::asio::ip::udp::endpoint& local, const std::string& name,
                             const std::string& incarnation)
    : executor(std::move(executor)),
      metrics(metrics),
      socket(this->executor),
      local(local),
      self(NodeKeyOf(name)),
      start(NodeKeyOf(incarnation)),
      gate(this->self, this->start),
      counter(this->self, this->start, net::Now()),
      timer(this->executor),
      last_tick(net::Now()) {}

net::ErrorCode QuotaExchange::Listen() {
  net::ErrorCode error;
  this->socket.open(this->local.protocol(), error);
  if (!error) {
    this->socket.bind(this->local, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  return error;
}

void QuotaExchange::SetCustomers(const CustomerDirectory& customers) {
  std::unordered_map<std::uint32_t, Quota> quotas;
  this->customer_names.clear();
  for (const std::shared_ptr<const Customer>& customer : customers.All()) {
    if (customer->HasQuota()) {
      quotas[customer->key] = Quota::Of(*customer);
      this->customer_names[customer->key] = customer->name;
    }
  }
  if (!this->has_customers) {
    this->announcements_left = kAnnouncements;
  }
  this->has_customers = true;
  this->gate.SetQuotas(quotas);
  this->counter.SetQuotas(std::move(quotas), net::Now());
  this->last_tick = net::Now();
  this->timer.cancel();
}

void QuotaExchange::SetNodes(const std::map<std::string, Address>& listed) {
  std::vector<NodeKey> keys;
  this->nodes.clear();
  for (const auto& [name, address] : listed) {
    this->nodes[NodeKeyOf(name)] = {name, address};
    keys.push_back(NodeKeyOf(name));
  }
  this->gate.Nodes().SetList(keys, net::Now());
}

std::string QuotaExchange::NameOfNode(NodeKey node) const {
  const auto found = this->nodes.find(node);
  return found == this->nodes.end() ? std::string() : found->second.first;
}

awaitable<QuotaDecision> QuotaExchange::Admit(const Customer& customer) {
  this->CheckForStall();
  const QuotaGate::Verdict verdict =
      this->gate.Request(customer.key, Quota::Of(customer), net::Now());
  if (const auto* decision = std::get_if<QuotaDecision>(&verdict)) {
    this->Count(*decision);
    this->ReportEvents();
    co_return *decision;
  }
  const QuotaGate::Ticket ticket = std::get<QuotaGate::Ticket>(verdict);
  auto waiter = std::make_shared<Waiter>(this->executor);
  waiter->timer.expires_after(kMaxWait);
  this->waiters[ticket] = waiter;
  this->PostFlush();
  co_await waiter->timer.async_wait(net::kAwaitWithError);
  this->waiters.erase(ticket);
  const QuotaDecision decision =
      waiter->decision.value_or(QuotaDecision{false, QuotaDecider::kShare, kFailedRetryAfter});
  this->Count(decision);
  co_return decision;
}

void QuotaExchange::GiveBack(const Customer& customer) { this->gate.GiveBack(customer.key); }

void QuotaExchange::PostFlush() {
  if (!std::exchange(this->is_flush_posted, true)) {
    net::asio::post(this->executor, [this] {
      this->is_flush_posted = false;
      this->Flush();
    });
  }
}

void QuotaExchange::CheckForStall() {
  const net::SteadyTime now = net::Now();
  if (now - this->last_tick > kStallThreshold) {
    this->gate.NoteStall(now);
    this->counter.NoteStall(now);
  }
  this->last_tick = now;
}

void QuotaExchange::Wake(const std::vector<QuotaGate::Resolution>& resolutions,
                         net::SteadyTime now) {
  static_cast<void>(now);
  for (const auto& [ticket, decision] : resolutions) {
    const auto waiter = this->waiters.find(ticket);
    if (waiter != this->waiters.end()) {
      waiter->second->decision = decision;
      waiter->second->timer.cancel();
    }
  }
}

void QuotaExchange::Flush() {
  const net::SteadyTime now = net::Now();
  this->Wake(this->gate.Tick(now), now);
  for (const auto& [node, request] : this->gate.TakeMessages(now)) {
    const bool has_question = std::any_of(request.asks.begin(), request.asks.end(),
                                          [](const QuotaAsk& ask) { return ask.wanted > 0; });
    this->CountMessages(has_question ? "asked" : "reported");
    if (node == this->self) {
      const QuotaReply reply = this->counter.Handle(request, this->gate.Nodes(), now);
      this->Wake(this->gate.Handle(reply, now), now);
    } else {
      this->SendTo(node, Encode(request));
    }
  }
  this->ReportEvents();
}

void QuotaExchange::SendNotices() {
  for (const auto& [node, notice] : this->counter.DueNotices(net::Now())) {
    this->CountMessages("notice");
    if (node == this->self) {
      this->Wake(this->gate.Handle(notice, net::Now()), net::Now());
    } else {
      this->SendTo(node, Encode(notice));
    }
  }
}

void QuotaExchange::Announce() {
  const net::SteadyTime now = net::Now();
  if (this->announcements_left == 0 || this->nodes.empty() || now < this->next_announcement) {
    return;
  }
  --this->announcements_left;
  this->next_announcement = now + kAnnouncementPeriod;
  const std::string bytes = Encode(this->counter.Announcement());
  for (const auto& [node, listed] : this->nodes) {
    if (node != this->self) {
      this->SendTo(listed.second, bytes);
    }
  }
}

awaitable<void> QuotaExchange::Run() {
  while (true) {
    if (this->customer_names.empty()) {
      this->timer.expires_at(net::SteadyTime::max());  // until there are quotas
    } else {
      this->timer.expires_after(kTickPeriod);
    }
    co_await this->timer.async_wait(net::kAwaitWithError);
    if (this->customer_names.empty()) {
      continue;
    }
    this->CheckForStall();
    this->Announce();
    this->SendNotices();
    this->Flush();
  }
}

awaitable<void> QuotaExchange::Receive() {
  std::string bytes(kMaxDatagramBytes, '\0');
  while (this->socket.is_open()) {
    net::asio::ip::udp::endpoint sender;
    const auto [error, size] = co_await this->socket.async_receive_from(
        net::asio::buffer(bytes), sender, net::kAwaitWithError);
    if (error == net::asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      this->HandleDatagram(bytes.substr(0, size), sender.address());
    }
  }
}

void QuotaExchange::HandleDatagram(const std::string& bytes, const Address& sender) {
  if (!this->customer_names.empty()) {
    this->CheckForStall();
  }
  const net::SteadyTime now = net::Now();
  QuotaRequest request;
  if (Decode(bytes, request)) {
    if (this->has_customers) {  // else nothing is known of quotas yet
      const QuotaReply reply = this->counter.Handle(request, this->gate.Nodes(), now);
      if (!reply.answers.empty()) {
        this->CountMessages("answered");
        this->SendTo(sender, Encode(reply));
      }
    }
    return;
  }
  QuotaReply reply;
  if (!Decode(bytes, reply)) {
    net::LogLine("quota_message_unreadable").With("peer", sender.to_string());
    return;
  }
  this->Wake(this->gate.Handle(reply, now), now);
  if (this->gate.IsActive()) {
    this->PostFlush();
  }
}

void QuotaExchange::SendTo(const Address& address, const std::string& bytes) {
  net::ErrorCode lost;  // a send error is treated like a lost datagram
  this->socket.send_to(net::asio::buffer(bytes), {address, this->local.port()}, 0, lost);
}

void QuotaExchange::SendTo(NodeKey node, const std::string& bytes) {
  const auto found = this->nodes.find(node);
  if (found != this->nodes.end()) {
    this->SendTo(found->second.second, bytes);
  }
}

void QuotaExchange::LogEvent(const QuotaEvent& event) const {
  const auto name = this->customer_names.find(event.customer);
  const std::string customer = name == this->customer_names.end() ? "" : name->second;
  switch (event.kind) {
    case QuotaEvent::Kind::kLimitingBegan:
      net::LogLine("quota_limiting_began").With("customer", customer);
      break;
    case QuotaEvent::Kind::kLimitingEnded:
      net::LogLine("quota_limiting_ended").With("customer", customer);
      break;
    case QuotaEvent::Kind::kFellBack:
      net::LogLine("quota_fell_back").With("customer", customer);
      break;
    case QuotaEvent::Kind::kRecovered:
      net::LogLine("quota_recovered").With("customer", customer);
      break;
    case QuotaEvent::Kind::kCounterSilent:
      net::LogLine("quota_counter_silent").With("node", this->NameOfNode(event.node));
      break;
    case QuotaEvent::Kind::kCounterReachable:
      net::LogLine("quota_counter_reachable").With("node", this->NameOfNode(event.node));
      break;
    case QuotaEvent::Kind::kTimedOut:
      break;  // counted only
  }
}

void QuotaExchange::ReportEvents() {
  for (const QuotaEvent& event : this->gate.TakeEvents()) {
    if (event.kind == QuotaEvent::Kind::kTimedOut) {
      this->CountMessages("timed_out");
    }
    this->LogEvent(event);
  }
}

void QuotaExchange::Count(const QuotaDecision& decision) {
  this->metrics
      .GetCounter("gateway_quota_requests_total",
                  {{"outcome", decision.is_admitted ? "admitted" : "refused"},
                   {"decider", std::string(NameOf(decision.decider))}})
      .Add();
}

void QuotaExchange::CountMessages(const char* kind, std::size_t count) {
  this->metrics.GetCounter("gateway_quota_messages_total", {{"kind", kind}}).Add(count);
}

}  // namespace lentilhead::customers
