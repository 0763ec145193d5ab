#pragma once

#include "state/state.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace boragestand::ctl
{

/// Fake control instance. Several stubs share one control_state, as members of
/// one control group do.
class stub_control
{
public:
    /// How the stub responds to commands.
    enum class behaviour
    {
        leader,
        follower,      ///< answers 421 and names the leader
        drops_answers, ///< runs commands, but never sends the response
        no_quorum
    };

    stub_control(transport::main_loop& loop, state::control_state& state,
                 behaviour mode, std::uint32_t id)
        : state_(state), mode_(mode)
    {
        status_.instance = instance_id{id};
        auto server = transport::http2_server::listen(
            loop, *transport::parse_endpoint("127.0.0.1:0"),
            [this](transport::http_request request,
                   std::shared_ptr<transport::http_exchange> exchange)
            { serve(request, std::move(exchange)); });
        server_ = std::move(*server);
    }

    transport::endpoint address() const { return server_->local_endpoint(); }

    /// The leader that a follower names in its 421 response.
    std::optional<transport::endpoint> leader;
    /// Entry instances in the status.
    std::vector<state::status_entry> entries;
    /// Number of commands received.
    int commands{0};

private:
    void serve(const transport::http_request& request,
               std::shared_ptr<transport::http_exchange> exchange)
    {
        if (state::is_command(request))
        {
            ++commands;
            serve_command(request, std::move(exchange));
            return;
        }
        if (request.path == "/v1/status")
        {
            status_.role = mode_ == behaviour::leader ? "leader" : "follower";
            status_.revision = state_.current()->revision;
            status_.entries = entries;
            exchange->respond(
                state::json_response(200, state::to_json(status_)));
            return;
        }
        if (request.path == "/v1/configuration")
        {
            exchange->respond(
                state::json_response(200, state::to_json(*state_.current())));
            return;
        }
        if (request.path == "/v1/notes/check")
        {
            exchange->respond(
                state::check_response(state_.check_note(request.body)));
            return;
        }
        const state::accepted_note* note = state_.find_note(1);
        exchange->respond(
            request.path == "/v1/notes/1" && note != nullptr
                ? state::to_http(*note)
                : state::to_http(error{error_kind::not_found, request.path}));
    }

    void serve_command(const transport::http_request& request,
                       std::shared_ptr<transport::http_exchange> exchange)
    {
        if (mode_ == behaviour::follower)
        {
            exchange->respond(state::not_leader_response(leader));
            return;
        }
        if (mode_ == behaviour::no_quorum)
        {
            exchange->respond(
                state::to_http(error{error_kind::no_quorum, "no majority"}));
            return;
        }
        const auto outcome =
            state_.apply({*state::parse_identity(request.headers), wall_time{},
                          *state::parse_action(request)});
        if (mode_ == behaviour::drops_answers)
        {
            unanswered_.push_back(std::move(exchange));
            return;
        }
        exchange->respond(state::to_http(outcome));
    }

    state::control_state& state_;
    behaviour mode_;
    state::control_status status_;
    std::vector<std::shared_ptr<transport::http_exchange>> unanswered_;
    std::unique_ptr<transport::http2_server> server_;
};

} // namespace boragestand::ctl
