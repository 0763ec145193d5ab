#pragma once

#include "coordination/coordination.hpp"
#include "entry_log.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragestand::entry
{

/// Keeps the newest configuration that any source offers: the streams of the
/// control instances, one at a time, and of peers that are ahead.
class configuration_follower
{
public:
    using receiver =
        std::function<void(const std::shared_ptr<const state::configuration>&)>;

    /// The receiver is called with each newer configuration.
    configuration_follower(transport::main_loop& loop,
                           transport::timer_service& timers,
                           std::vector<transport::endpoint> control,
                           std::map<instance_id, transport::endpoint> peers,
                           entry_log& log, receiver receive);

    /// Follows a peer until it has given the revision, unless control does
    /// first.
    void fetch_from(instance_id peer, std::uint64_t revision);

    /// The newest configuration; never null.
    const std::shared_ptr<const state::configuration>& current() const
    {
        return current_;
    }

private:
    /// One stream with the part of a frame that has been received.
    struct source
    {
        transport::endpoint address;
        std::unique_ptr<transport::http2_client> client;
        transport::subscription stream;
        std::string buffer;
        bool streaming{false};
        bool once{false}; ///< ends after the first update
        time_point last_bytes;
    };

    void open(source& from);
    void follow_control();
    void received(source& from, std::string_view bytes);
    bool take_frame(source& from);
    bool take_update(source& from, std::string_view frame);
    void fail(source& from, const error& cause);
    void close(source& from);
    bool end_if_silent(source& from, time_point now);
    void watch_streams(time_point now);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    std::vector<std::unique_ptr<source>> control_;
    std::size_t control_index_{0};
    std::map<instance_id, std::unique_ptr<source>> peers_;
    entry_log& log_;
    receiver receive_;
    std::shared_ptr<const state::configuration> current_;
    transport::subscription retry_;
    transport::subscription closing_;
};

} // namespace boragestand::entry
