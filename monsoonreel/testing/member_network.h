// Simulates a network of memberships in virtual time, for tests and benchmarks.
//
//   member_network Network;
//   Network.add("a1", "east");
//   Network.run(std::chrono::seconds(10));
//   Network.cut("a1", "b1");
//   EXPECT_EQ(Network.node("a1").find(node_name("b1"))->State, ...);

#ifndef MONSOONREEL_TESTING_MEMBER_NETWORK_H
#define MONSOONREEL_TESTING_MEMBER_NETWORK_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "monsoonreel/membership.h"

namespace monsoonreel {

// A live entry in the zone "east".
inline wire::member makeMember(const std::string &Name, incarnation Run) {
  wire::member Member;
  Member.Name = Name;
  Member.Role = wire::member_role::Entry;
  Member.Zone = "east";
  Member.Address = Name + ":7100";
  Member.Incarnation = Run.Value;
  Member.State = wire::member_state::Alive;
  return Member;
}

class member_network {
public:
  static constexpr duration step = std::chrono::milliseconds(10);
  static constexpr duration delay = std::chrono::milliseconds(2);

  explicit member_network(uint64_t Seed = 1) : Random(Seed) {}

  // Starts a node, or restarts it with a higher incarnation. The first node is
  // its seed.
  membership &add(const std::string &Name, const std::string &Zone,
                  wire::member_role::type Role = wire::member_role::Entry) {
    node_identity Self{node_name(Name), zone_name(Zone), addressOf(Name),
                       incarnation{++Incarnations}};
    if (Seeds.empty())
      Seeds.push_back(Self.Address);
    auto Node = std::make_unique<membership>(Self, Role, Seeds);
    membership &Result = *Node;
    Nodes[Name] = std::move(Node);
    Stopped.erase(Name);
    return Result;
  }

  // Gives every node the list of all members, as it has long after the start.
  void introduceAll() {
    wire::heartbeat_ack Ack;
    for (const auto &[Name, Node] : Nodes)
      Ack.Gossip.push_back(Node->self());
    Ack.__set_Sender(Ack.Gossip.front());
    effect_list Effects;
    for (const auto &[Name, Node] : Nodes)
      Node->onMessage(
          {node_name(Ack.Sender.Name), address(Ack.Sender.Address), Ack}, Now,
          Effects);
  }

  static address addressOf(const std::string &Name) {
    return address(Name + ":7100");
  }
  membership &node(const std::string &Name) { return *Nodes.at(Name); }
  const wire::member *seenBy(const std::string &Viewer,
                             const std::string &Name) {
    return node(Viewer).find(node_name(Name));
  }
  wire::member_state::type stateOf(const std::string &Viewer,
                                   const std::string &Name) {
    const wire::member *Member = seenBy(Viewer, Name);
    return Member ? Member->State : wire::member_state::Dead;
  }

  // A stopped node neither ticks nor receives; its messages are lost.
  void stop(const std::string &Name) { Stopped.insert(Name); }
  void resume(const std::string &Name) { Stopped.erase(Name); }
  // Drops all messages between two nodes, until healAll is called.
  void cut(const std::string &Left, const std::string &Right) {
    Cuts.insert({Left, Right});
    Cuts.insert({Right, Left});
  }
  void healAll() { Cuts.clear(); }
  // Silently drops all messages on the connection from one node to another
  // until it is reset.
  void silence(const std::string &From, const std::string &To) {
    Silent.insert({From, To});
  }
  bool isSilent(const std::string &From, const std::string &To) const {
    return Silent.contains({From, To});
  }

  void run(duration Time) {
    for (steady_time End = Now + Time; Now < End; Now += step) {
      for (auto &[Name, Node] : Nodes) {
        if (Stopped.contains(Name))
          continue;
        effect_list Effects;
        Node->onTick(Now, Random(), log_offset{Offsets[Name]}, Effects);
        carryOut(Name, Effects);
      }
      deliver();
    }
  }

  steady_time now() const { return Now; }
  void setOffset(const std::string &Name, int64_t Offset) {
    Offsets[Name] = Offset;
  }
  // Encoded bytes that a node has sent since the start.
  size_t bytesSentBy(const std::string &Name) { return SentBytes[Name]; }
  size_t bytesReceivedBy(const std::string &Name) {
    return ReceivedBytes[Name];
  }

private:
  struct message_on_way {
    std::string From;
    std::string To;
    wire::peer_message Message;
  };

  void carryOut(const std::string &From, const effect_list &Effects) {
    for (const effect &Effect : Effects) {
      if (const auto *Reset = std::get_if<reset_link>(&Effect))
        Silent.erase({From, nameAt(Reset->ToAddress)});
      if (const auto *Send = std::get_if<send_message>(&Effect))
        send(From, *Send);
    }
  }
  void send(const std::string &From, const send_message &Send) {
    std::string To = nameAt(Send.ToAddress);
    size_t Size = encodeMessage(Send.Message).size();
    SentBytes[From] += Size;
    ReceivedBytes[To] += Size;
    bool Lost = Cuts.contains({From, To}) || Silent.contains({From, To}) ||
                !Nodes.contains(To);
    if (!Lost)
      OnWay.emplace(Now + delay, message_on_way{From, To, Send.Message});
  }
  void deliver() {
    while (!OnWay.empty() && OnWay.begin()->first < Now + step) {
      message_on_way Message = std::move(OnWay.begin()->second);
      steady_time At = OnWay.begin()->first;
      OnWay.erase(OnWay.begin());
      if (Stopped.contains(Message.To))
        continue;
      effect_list Effects;
      node(Message.To)
          .onMessage({node_name(Message.From), addressOf(Message.From),
                      Message.Message},
                     At, Effects);
      carryOut(Message.To, Effects);
    }
  }
  static std::string nameAt(const address &Address) {
    return Address.Value.substr(0, Address.Value.find(':'));
  }

  std::mt19937_64 Random;
  steady_time Now{std::chrono::hours(1)};
  int64_t Incarnations = 1791820800000000; // of the same size as in daemons
  std::vector<address> Seeds;
  std::map<std::string, std::unique_ptr<membership>> Nodes;
  std::map<std::string, int64_t> Offsets;
  std::map<std::string, size_t> SentBytes;
  std::map<std::string, size_t> ReceivedBytes;
  std::set<std::string> Stopped;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::set<std::pair<std::string, std::string>> Silent;
  std::multimap<steady_time, message_on_way> OnWay;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TESTING_MEMBER_NETWORK_H
