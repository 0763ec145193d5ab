#pragma once

#include "traffic/traffic.hpp"

#include <gtest/gtest.h>

namespace boragestand::traffic
{

using namespace std::chrono_literals;

inline constexpr transport::endpoint desk{0xc6120001, 443};
inline constexpr transport::endpoint maps{0xc6120002, 443};

inline coordination::registered_upstream
upstream(std::uint64_t id, const std::string& service,
         const std::string& data_centre = "a", std::uint64_t incarnation = 1000)
{
    coordination::registered_upstream record;
    record.id = id;
    record.service = service;
    record.address = {0x0a000000 + static_cast<std::uint32_t>(id), 8080};
    record.data_centre = data_centre;
    record.incarnation = incarnation;
    record.sequence = 1;
    return record;
}

inline state::routing_plan plan(std::uint64_t version)
{
    state::routing_plan value;
    value.version = version;
    value.services = {{"desk", "", 0}, {"maps", "", 0}};
    state::service_route to_desk;
    to_desk.name = "desk";
    to_desk.address = desk;
    to_desk.services = {{"desk", 1}};
    to_desk.timeout_ms = 1000;
    auto to_maps = to_desk;
    to_maps.name = "maps";
    to_maps.address = maps;
    to_maps.services = {{"maps", 1}};
    value.routes = {to_desk, to_maps};
    return value;
}

inline token_packet packet(std::uint16_t port,
                           const transport::endpoint& to = desk)
{
    token_packet value;
    value.flow = {{0x64400001, port}, to};
    value.sequence = 7;
    return value;
}

inline token_packet syn(std::uint16_t port,
                        const transport::endpoint& to = desk)
{
    auto value = packet(port, to);
    value.syn = true;
    return value;
}

class token_router_test : public testing::Test
{
protected:
    token_router_test() : router_(settings())
    {
        router_.apply(plan(1));
        router_.confirm_plan(now_);
    }

    static token_router_settings settings()
    {
        token_router_settings value;
        value.data_centre = hash_text("a");
        return value;
    }

    void add(const std::vector<coordination::registered_upstream>& records)
    {
        router_.apply(records, false, now_);
    }

    forward_packet forwarded(const token_packet& value)
    {
        const auto decision = router_.decide(value, now_);
        const auto* forward = std::get_if<forward_packet>(&decision);
        EXPECT_NE(forward, nullptr);
        return forward == nullptr ? forward_packet{} : *forward;
    }

    token_drop_reason dropped(const token_packet& value)
    {
        return std::get<drop_packet>(router_.decide(value, now_)).reason;
    }

    /// Opens a flow and lets its upstream answer.
    std::uint64_t open(std::uint16_t port)
    {
        const auto placed = forwarded(syn(port));
        auto next = packet(port);
        next.ack = true;
        next.token = placed.token;
        forwarded(next);
        return placed.upstream;
    }

    time_point now_{1h};
    token_router router_;
};

} // namespace boragestand::traffic
