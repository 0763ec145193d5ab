#pragma once

#include "coordination/flow_events.hpp"
#include "coordination/router_settings.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace boragestand::coordination
{

/// Which entry instances are alive, as this instance sees it. Detects failures
/// with direct and indirect probes, suspicion and refutation by incarnation.
/// Dead members are probed at a low rate permanently, so partitions heal.
class membership
{
public:
    explicit membership(const router_settings& settings);

    /// Sends probes and declares members dead whose suspicion has timed out.
    void tick(time_point now, router_effects& effects);

    /// Handles a message of any kind: records that its sender is alive, and
    /// answers probes. Returns false if the message comes from an earlier
    /// incarnation of its sender and must be ignored.
    bool receive(const protocol::entry_envelope& envelope, time_point now,
                 router_effects& effects);

    /// Declares this instance leaving.
    void leave(time_point now, router_effects& effects);

    /// Whether decisions may be based on the view. False after the start and
    /// after a pause of the process until enough members have answered.
    bool is_fresh(time_point now) const;

    /// Whether no member is suspect and the view has not changed within the
    /// settling time.
    bool is_settled(time_point now) const;

    /// Increases with each change of eligible().
    std::uint64_t generation() const { return generation_; }

    /// Members that may own flows, sorted by identity.
    std::vector<instance_id> eligible() const;

    /// Members that messages can reach, without this instance.
    std::vector<instance_id> reachable() const;

    /// Whether the member is not dead.
    bool is_reachable(instance_id member) const;

    /// Whether this instance is in its planned stop.
    bool is_leaving() const { return leaving_; }

    /// Members that were declared dead and kept serving their flows, as behind
    /// a partition. Clears what it returns.
    std::vector<instance_id> take_returned_members();

    /// Dead members that did not complete a planned stop.
    std::vector<instance_id> lost_members() const;

    /// Requests a check of the lost members, for a packet of an unknown flow
    /// that one of them may own: with a settled view, such a packet shows that
    /// a partition may have healed. Returns whether the packet has to wait for
    /// the check.
    bool request_lost_check(time_point now);

    /// Whether a wait that began at wait_start is over: no member is lost, the
    /// lost members were probed and did not answer, or some have returned and
    /// the others had time to follow.
    bool is_lost_check_done(time_point wait_start, time_point now) const;

    /// Whether this instance was paused and declared dead meanwhile, so that
    /// others own its flows. Clears what it returns.
    bool take_lost_ownership();

    /// Whether the others declared this instance dead, so that they may have
    /// discarded its pins. Clears what it returns.
    bool take_declared_dead();

    /// Configuration revision that probes carry.
    void set_revision(std::uint64_t revision) { revision_ = revision; }

    /// An envelope from this instance.
    protocol::entry_envelope envelope(protocol::entry_message message) const;

    /// All members with their states, this one included.
    std::vector<protocol::member_update> view() const;

private:
    struct peer
    {
        protocol::member_update latest; ///< newest update of its state
        std::optional<time_point> suspected_since;
        time_point last_notified{}; ///< of its state in this view
        unsigned gossip_left{0};
        bool refresh_pending{false};
        time_point died_at{};
        bool stopped{false}; ///< died after it had left
    };

    struct pending_probe
    {
        std::uint32_t sequence{0};
        instance_id target;
        time_point sent;
        bool indirect{false};
    };

    struct relayed_probe
    {
        std::uint32_t sequence{0}; ///< of this instance
        std::uint32_t origin_sequence{0};
        instance_id origin;
        time_point sent;
    };

    peer* find(instance_id id);
    const peer* find(instance_id id) const;
    void detect_pause(time_point now, router_effects& effects);
    bool process_sender(const protocol::entry_envelope& envelope,
                        time_point now, router_effects& effects);
    void apply(const protocol::member_update& update, time_point now,
               router_effects& effects);
    void apply_about_self(const protocol::member_update& update, time_point now,
                          router_effects& effects);
    void mark_suspect(peer& member, time_point now, router_effects& effects);
    void set_state(peer& member, const protocol::member_update& update,
                   time_point now, router_effects& effects);
    void handle_probe(const protocol::entry_envelope& envelope,
                      const protocol::probe& request, time_point now,
                      router_effects& effects);
    void handle_ack(const protocol::entry_envelope& envelope,
                    const protocol::probe_ack& ack, router_effects& effects);
    void begin_refresh(time_point now, duration limit, bool all,
                       router_effects& effects);
    void check_refresh(time_point now, router_effects& effects);
    void check_probes(time_point now, router_effects& effects);
    void check_suspicions(time_point now, router_effects& effects);
    void probe_next(time_point now, router_effects& effects);
    void check_lost_members(time_point now, router_effects& effects);
    void probe_dead(time_point now, router_effects& effects);
    void send_probe(instance_id to, time_point now, bool expect_ack,
                    router_effects& effects);
    void broadcast(time_point now, router_effects& effects);
    std::vector<protocol::member_update> updates_for(instance_id to);
    void send(instance_id to, protocol::entry_message message,
              router_effects& effects) const;

    router_settings settings_;
    std::uint64_t incarnation_;
    bool leaving_{false};
    unsigned self_gossip_left_{0};
    std::vector<peer> peers_;
    /// Members still to probe in this round, in reverse order.
    std::vector<instance_id> probe_order_;
    std::vector<pending_probe> probes_;
    std::vector<relayed_probe> relayed_;
    random_generator random_;
    std::uint32_t sequence_{0};
    std::uint64_t revision_{0};
    std::uint64_t generation_{1};
    std::optional<time_point> last_tick_;
    time_point next_probe_{};
    time_point next_dead_probe_{};
    std::size_t next_dead_{0};
    time_point last_change_{};
    bool fresh_{false};
    time_point refresh_limit_{};
    /// Members that may fail to answer before the view is fresh again.
    std::size_t refresh_missing_allowed_{0};
    /// Acknowledgements of probes with a later sequence answer the refresh.
    std::uint32_t refresh_start_sequence_{0};
    time_point lost_check_confirmed_{};
    std::optional<time_point> lost_check_started_; ///< probes are under way
    bool lost_check_requested_{false};
    time_point last_death_{};
    time_point last_return_{};
    std::size_t lost_count_{0};
    /// Incarnation that others suspected or declared dead during a pause.
    std::uint64_t refuted_incarnation_{0};
    bool paused_{false}; ///< until the refresh after the pause is complete
    std::vector<instance_id> returned_;
    bool lost_ownership_{false};
    bool declared_dead_{false};
};

} // namespace boragestand::coordination
