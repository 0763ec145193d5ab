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

/// Subscribes to configuration streams and keeps the newest revision received.
/// Sources are the control instances, one at a time, and peers that hold a
/// newer revision.
class configuration_follower
{
public:
    using configuration_callback =
        std::function<void(const std::shared_ptr<const state::configuration>&)>;

    /// on_configuration is called with each newer configuration.
    configuration_follower(transport::main_loop& loop,
                           transport::timer_service& timers,
                           std::vector<transport::endpoint> control,
                           std::map<instance_id, transport::endpoint> peers,
                           entry_log& log,
                           configuration_callback on_configuration);

    /// Fetches a revision from a peer unless this instance already holds it.
    /// The stream to the peer closes after its first update.
    void fetch_from(instance_id peer, std::uint64_t revision);

    /// The newest configuration; never null.
    const std::shared_ptr<const state::configuration>& current() const
    {
        return current_;
    }

private:
    /// A stream and the bytes received that are not a complete frame yet.
    struct source
    {
        transport::endpoint address;
        std::unique_ptr<transport::http2_client> client;
        transport::subscription stream;
        std::string buffer;
        bool streaming{false};
        bool close_after_update{false};
        time_point last_received;
    };

    void open(source& from);
    void follow_control();
    void handle_bytes(source& from, std::string_view bytes);
    bool handle_frame(source& from);
    bool handle_update(source& from, std::string_view frame);
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
    configuration_callback on_configuration_;
    std::shared_ptr<const state::configuration> current_;
    transport::subscription watch_timer_;
    transport::subscription closing_;
};

} // namespace boragestand::entry
