#pragma once

#include <map>
#include <memory>
#include <string>

#include "customers/customer_directory.h"
#include "customers/quota_counter.h"
#include "customers/quota_gate.h"
#include "framework/metrics.h"

namespace lentilhead::customers {

/// Limits the requests of customers with a quota over all nodes together: exchanges the messages of
/// this node's QuotaGate with the QuotaCounter of each node by datagrams. Sends nothing while the
/// configuration has no quota.
class QuotaExchange {
 public:
  using Address = net::asio::ip::address;

  /// @param local address and port for datagrams; all nodes use the same port.
  /// @param name name of this node. @param incarnation name of this start of the node.
  QuotaExchange(net::asio::any_io_executor executor, framework::Metrics& metrics,
                const net::asio::ip::udp::endpoint& local, const std::string& name,
                const std::string& incarnation);

  /// Opens the socket. Without it only this node's share of a quota is admitted.
  /// @return the error if the address can't be used.
  [[nodiscard]] net::ErrorCode Listen();

  /// Sets the customers of the configuration in force.
  void SetCustomers(const CustomerDirectory& customers);

  /// Sets the addresses of the listed nodes by name, including this one.
  void SetNodes(const std::map<std::string, Address>& listed);

  /// Decides on a request of a customer, after an answer of another node if the customer is near
  /// its quota. @param customer must have a quota, and outlive the call.
  net::asio::awaitable<QuotaDecision> Admit(const Customer& customer);

  /// Returns what a request took that was admitted but refused before it ran.
  void GiveBack(const Customer& customer);

  /// Exchange messages until the event loop stops.
  net::asio::awaitable<void> Run();
  net::asio::awaitable<void> Receive();

 private:
  struct Waiter {
    explicit Waiter(const net::asio::any_io_executor& executor) : timer(executor) {}

    net::asio::steady_timer timer;  ///< cancelled by the decision
    std::optional<QuotaDecision> decision;
  };

  /// Sends what is due, and answers what this node asks itself.
  void Flush();
  /// Flushes when the requests that have been read are all decided on.
  void PostFlush();
  void CheckForStall();
  void Wake(const std::vector<QuotaGate::Resolution>& resolutions, net::SteadyTime now);
  void SendNotices();
  void Announce();
  void HandleDatagram(const std::string& bytes, const Address& sender);
  void SendTo(const Address& address, const std::string& bytes);
  void SendTo(NodeKey node, const std::string& bytes);
  void ReportEvents();
  void LogEvent(const QuotaEvent& event) const;
  void Count(const QuotaDecision& decision);
  void CountMessages(const char* kind, std::size_t count = 1);
  [[nodiscard]] std::string NameOfNode(NodeKey node) const;

  net::asio::any_io_executor executor;
  framework::Metrics& metrics;
  net::asio::ip::udp::socket socket;
  net::asio::ip::udp::endpoint local;
  NodeKey self;
  std::uint32_t start;
  QuotaGate gate;
  QuotaCounter counter;
  net::asio::steady_timer timer;
  std::map<NodeKey, std::pair<std::string, Address>> nodes;
  std::unordered_map<std::uint32_t, std::string> customer_names;  ///< of those with a quota
  std::map<QuotaGate::Ticket, std::shared_ptr<Waiter>> waiters;
  net::SteadyTime last_tick;
  net::SteadyTime next_announcement;
  int announcements_left = 0;
  bool has_customers = false;  ///< a configuration is known
  bool is_flush_posted = false;
};

}  // namespace lentilhead::customers
