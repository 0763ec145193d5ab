#include "entry_service.hpp"
#include "packet_codec.hpp"
#include "test_log.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragestand::platform
{

namespace
{

using namespace std::chrono_literals;

constexpr transport::endpoint any_local_port{0x7f000001, 0};
constexpr transport::endpoint desk{0xc6120001, 443};

transport::udp_socket local_socket()
{
    auto socket = transport::udp_socket::bind(any_local_port);
    EXPECT_TRUE(socket);
    return std::move(*socket);
}

std::vector<std::byte> make_packet(std::uint32_t sequence, std::size_t size,
                                   bool syn)
{
    traffic::token_flow flow{desk, {0x64400001, 40001}};
    const auto header = make_reset(flow);
    std::vector<std::byte> packet(header.begin(), header.end());
    packet.resize(header.size() + size);
    packet[12] = syn ? std::byte{16} : std::byte{128};
    for (int shift = 0; shift < 4; ++shift)
    {
        packet[14 + shift] =
            static_cast<std::byte>(sequence >> (8 * (3 - shift)));
    }
    packet[26] = static_cast<std::byte>(size >> 8);
    packet[27] = static_cast<std::byte>(size);
    return packet;
}

/// An entry service whose directory a stand-in of a control instance serves: a
/// plan with one route and one upstream, which is a socket of the test.
class entry_service_test : public testing::Test
{
protected:
    void start(const traffic::link_settings& link)
    {
        serve_directory();
        fleet::entry_node_settings settings;
        settings.address = {0x7f000001, 1};
        settings.data_centre = "a";
        settings.seeds = {control_->local_endpoint()};
        node_.emplace(loop_, timers_, settings, log_);
        auto packets = local_socket();
        address_ = packets.local_endpoint();
        service_.emplace(*node_, std::move(packets), link, timers_, log_);
        node_->start();
        service_->start(loop_);
        run_for(entry_service::first_plan_wait);
    }

    void serve_directory()
    {
        coordination::directory_reply reply;
        reply.epoch = 1;
        reply.current = true;
        reply.plan.emplace();
        reply.plan->version = reply.plan_version = 7;
        reply.plan->services = {{"desk", "", 0}};
        reply.plan->routes.resize(1);
        auto& route = reply.plan->routes[0];
        route.address = desk;
        route.services = {{"desk", 1}};
        route.timeout_ms = 1000;
        reply.upstreams.resize(1);
        auto& upstream = reply.upstreams[0];
        upstream.id = 5;
        upstream.service = "desk";
        upstream.address = upstream_.local_endpoint();
        upstream.incarnation = 1;
        auto listening = transport::http2_server::listen(
            loop_, any_local_port,
            [body = coordination::encode_message(reply)](
                const transport::http_request&,
                const std::shared_ptr<transport::http_exchange>& exchange) {
                exchange->respond({.status = 200, .headers = {}, .body = body});
            });
        ASSERT_TRUE(listening);
        control_ = std::move(*listening);
    }

    void run_for(duration time)
    {
        const auto end = timers_.after(time, [&](time_point) { loop_.quit(); });
        loop_.run();
    }

    std::size_t received_by_upstream()
    {
        std::size_t count = 0;
        while (true)
        {
            const auto datagrams = upstream_.receive();
            if (datagrams.empty())
            {
                return count;
            }
            count += datagrams.size();
        }
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    fleet::fleet_log log_{quiet_log()};
    transport::udp_socket upstream_ = local_socket();
    transport::udp_socket caller_ = local_socket();
    std::unique_ptr<transport::http2_server> control_;
    std::optional<fleet::entry_node> node_;
    std::optional<entry_service> service_;
    transport::endpoint address_;
};

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

// Load: a window of an upload on a slow link. Guards against packets that a
// planned stop cuts off, and against a queue that never gives out its packets.
TEST_F(entry_service_test, loses_no_packet_when_it_stops_under_load)
{
    traffic::link_settings link;
    link.rate = 50000;
    start(link);
    caller_.send_to(address_, make_packet(100, 0, true));
    constexpr std::uint32_t packets = 16;
    constexpr std::uint32_t size = 1200;
    for (std::uint32_t i = 0; i < packets; ++i)
    {
        caller_.send_to(address_, make_packet(101 + i * size, size, false));
    }
    run_for(100ms);
    const auto paced = received_by_upstream();
    EXPECT_GT(paced, 1U);
    EXPECT_LT(paced, packets);
    service_->begin_stop();
    service_->flush();
    EXPECT_EQ(paced + received_by_upstream(), packets + 1);
}

// Guards against a released packet that waits for the next one to arrive.
TEST_F(entry_service_test, sends_what_waits_as_the_link_gets_free)
{
    traffic::link_settings link;
    link.rate = 100000;
    start(link);
    caller_.send_to(address_, make_packet(100, 0, true));
    for (std::uint32_t i = 0; i < 16; ++i)
    {
        caller_.send_to(address_, make_packet(101 + i * 1200, 1200, false));
    }
    run_for(1s);
    EXPECT_EQ(received_by_upstream(), 17U);
    EXPECT_NE(service_->metrics().find("boragestand_link_waiting_bytes 0\n"),
              std::string::npos);
}

} // namespace boragestand::platform
