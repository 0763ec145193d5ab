#pragma once

#include "base/metrics_text.hpp"
#include "traffic/token_router_types.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace boragestand::traffic
{

/// What the scheduler needs to know of a packet.
struct link_packet
{
    token_flow flow;
    std::uint32_t sequence{0};
    std::size_t data_size{0};   ///< bytes of data; 0: handshake or control
    bool opens{false};          ///< first packet of a new flow
    bool fin{false};            ///< last packet of the flow
    bool rst{false};            ///< the caller gives up the flow
    std::uint32_t priority{0};  ///< of the route; 0 is the highest
    duration target_latency{0}; ///< of the route; 0: not known
    duration timeout{0};        ///< of the route; 0: not known

    auto operator<=>(const link_packet&) const = default;
};

/// A datagram that waits for the link.
struct queued_datagram
{
    transport::endpoint destination;
    std::vector<std::byte> bytes;

    auto operator<=>(const queued_datagram&) const = default;
};

/// What becomes of an offered packet.
enum class link_outcome : std::uint8_t
{
    pass,    ///< the link is free: send it now
    queued,  ///< the scheduler holds it until take() returns it
    copy,    ///< dropped: the packet that it repeats has not left, or just has
    overflow ///< dropped: the queue is full of packets that are more urgent
};

/// Rates and limits of a link_scheduler.
struct link_settings
{
    /// Bytes per second that the link carries; 0: not limited.
    double rate{0};
    /// Share of the rate that is used for packets of callers. The rest carries
    /// the traffic between instances.
    double share{0.95};
    /// Bytes that each datagram adds on the link (IPv4 and UDP headers).
    std::size_t datagram_overhead{28};
    /// Released packets occupy the link for this long at most. The link has no
    /// priorities, so a later urgent packet waits that long, too.
    duration release_ahead{std::chrono::milliseconds(10)};
    /// Bytes of data that a flow may send before it counts as bulk: more than
    /// one short request.
    double bulk_threshold{6000};
    /// Share of the rate at which a flow may go on without counting as bulk.
    double interactive_share{0.05};
    /// A copy that comes this soon after its packet has left cannot be a
    /// retransmission for loss: callers wait 200 ms for an acknowledgement,
    /// most of which the packet has spent in the queue.
    duration copy_window{std::chrono::milliseconds(60)};
    /// A flow without packets for this long starts a new request.
    duration request_gap{std::chrono::milliseconds(300)};
    /// A flow without packets for this long is forgotten: callers retransmit
    /// after 1.6 s at most.
    duration idle_limit{std::chrono::seconds(2)};
    /// Objective and timeout of routes that state none.
    duration default_target_latency{std::chrono::seconds(1)};
    duration default_timeout{std::chrono::seconds(10)};
    /// The queue holds what the link carries in this time.
    duration max_backlog{std::chrono::seconds(3)};
};

/// Counters since the start.
struct link_counters
{
    std::uint64_t queued{0};
    std::uint64_t copies{0};
    std::uint64_t overflows{0};
};

/// Decides which packets enter a link that is slower than the bursts of bulk
/// transfers that callers send. Without it, packets wait in the link for longer
/// than callers wait for acknowledgements, callers send copies, the copies fill
/// the link, and each request, however short, waits behind them.
///
/// Short packets and requests go first, by priority of their route. Bulk flows
/// follow one after the other, oldest first, so that each finishes early; those
/// that have missed their objective come last. Copies of packets that wait are
/// dropped. Does no I/O and reads no clock.
class link_scheduler
{
public:
    explicit link_scheduler(const link_settings& settings = {});

    /// Offers a datagram in two parts, which are copied only if it is queued.
    link_outcome offer(const link_packet& packet,
                       const transport::outgoing_datagram& datagram,
                       time_point now);

    /// The next datagram that may be sent now, if any.
    std::optional<queued_datagram> take(time_point now);

    /// The next datagram regardless of the rate: for the end of the process.
    std::optional<queued_datagram> take_any(time_point now);

    /// When take() will return a datagram; none if the queue is empty.
    std::optional<time_point> next_release() const;

    /// Forgets flows that are idle, with what waits of them; to be called about
    /// once a second.
    void sweep(time_point now);

    std::size_t queued_bytes() const { return queued_bytes_; }
    std::size_t flow_count() const { return flows_.size(); }
    const link_counters& counters() const { return counters_; }

    /// Times that packets spent in the queue.
    const duration_histogram& waits() const { return waits_; }

private:
    /// Identifies a packet among the copies of it.
    struct packet_key
    {
        token_flow flow;
        std::uint32_t sequence{0};
        std::size_t data_size{0};
        bool fin{false};

        auto operator<=>(const packet_key&) const = default;
    };

    struct waiting_packet
    {
        packet_key key;
        queued_datagram datagram;
        time_point since;
    };

    struct flow_state
    {
        time_point started;     ///< of the request in progress
        time_point last_packet; ///< newest packet offered
        double recent_bytes{0}; ///< of data, reduced as time passes
        duration target_latency{0};
        duration timeout{0};
        std::deque<waiting_packet> waiting; ///< only if the flow is bulk
    };

    /// Usefulness of finishing a bulk flow now.
    enum class flow_rank : std::uint8_t
    {
        in_time, ///< can meet its objective
        late,    ///< has missed its objective
        given_up ///< its caller has probably given up
    };

    using flow_map = std::map<token_flow, flow_state>;

    flow_map::iterator observe(const link_packet& packet, time_point now);
    bool is_bulk(const link_packet& packet, const flow_state& flow) const;
    bool is_copy(const packet_key& key) const;
    void forget_departed(time_point now);
    void enqueue(const link_packet& packet, flow_map::iterator bulk_flow,
                 const transport::outgoing_datagram& datagram, time_point now);
    bool make_room(std::size_t size, flow_map::iterator bulk_flow,
                   time_point now);
    bool precedes(const flow_state& left, const flow_state& right,
                  time_point now) const;
    flow_rank rank(const flow_state& flow, time_point now) const;
    std::size_t size_on_link(std::size_t size) const;
    void discard_last(flow_map::iterator flow);
    void discard_all(flow_map::iterator flow);
    void discard_former(const token_flow& ends);
    std::optional<queued_datagram> take_next(time_point now);
    queued_datagram release(std::deque<waiting_packet>& queue, time_point now);
    void charge(std::size_t size, time_point now);
    bool is_free(time_point now) const;
    bool is_empty() const { return queued_bytes_ == 0; }

    link_settings settings_;
    double rate_;             ///< bytes per second for packets of callers
    time_point busy_until_{}; ///< when the link will have sent all it was given
    std::map<std::uint32_t, std::deque<waiting_packet>>
        urgent_; ///< by priority
    flow_map flows_;
    std::vector<flow_map::iterator> waiting_flows_; ///< with bulk packets
    std::set<packet_key> waiting_keys_;
    std::map<packet_key, time_point> departed_;
    std::deque<std::pair<time_point, packet_key>> departures_;
    std::size_t queued_bytes_{0};
    link_counters counters_;
    duration_histogram waits_;
};

} // namespace boragestand::traffic
