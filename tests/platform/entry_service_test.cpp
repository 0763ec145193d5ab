#include "entry_service.hpp"

#include <gtest/gtest.h>

namespace boragestand::platform
{

namespace
{

using namespace std::chrono_literals;

constexpr transport::endpoint any_local_port{0x7f000001, 0};

settings::event_log& quiet_log()
{
    static const auto log = std::move(
        *settings::event_log::open({settings::log_level::error, ""}, "test"));
    return *log;
}

} // namespace

// Guards against SYNs that are dropped while a new process has no plan yet, and
// against packets that are never read if no plan arrives.
TEST(entry_service, leaves_packets_in_the_socket_until_there_is_a_plan)
{
    transport::main_loop loop;
    transport::timer_service timers(loop);
    fleet::fleet_log log(quiet_log());
    fleet::entry_node_settings settings;
    settings.address = {0x7f000001, 1};
    settings.data_centre = "a";
    settings.seeds = {{0x7f000001, 1}};
    fleet::entry_node node(loop, timers, settings, log);
    auto packets = transport::udp_socket::bind(any_local_port);
    ASSERT_TRUE(packets);
    const auto address = packets->local_endpoint();
    entry_service service(node, std::move(*packets), {}, timers, log);
    service.start(loop);

    auto caller = transport::udp_socket::bind(any_local_port);
    ASSERT_TRUE(caller);
    const std::array<std::byte, 32> packet{};
    caller->send_to(address, packet);
    const auto received = [&service](const std::string& count)
    {
        return service.metrics().find("boragestand_datagrams_received_total " +
                                      count + "\n") != std::string::npos;
    };
    const auto run_for = [&](duration time)
    {
        const auto end = timers.after(time, [&](time_point) { loop.quit(); });
        loop.run();
    };
    run_for(entry_service::first_plan_wait / 4);
    EXPECT_TRUE(received("0"));
    run_for(entry_service::first_plan_wait * 5);
    EXPECT_TRUE(received("1"));
}

} // namespace boragestand::platform
