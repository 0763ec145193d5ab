#include "command_service.hpp"

#include "state/command_http.hpp"

namespace boragestand::control
{

command_service::command_service(replica_host& host,
                                 transport::timer_service& timers,
                                 control_log& log)
    : host_(host), timers_(timers), log_(log)
{
}

void command_service::handle(const transport::http_request& request,
                             const exchange& answer)
{
    if (!host_.is_leader())
    {
        answer->respond(state::not_leader_response(host_.leader_address()));
        return;
    }
    const auto identity = state::parse_identity(request.headers);
    if (!identity)
    {
        refuse(identity.error(), request.path, answer);
        return;
    }
    const auto action = state::parse_action(request);
    if (!action)
    {
        refuse(action.error(), request.path, answer);
        return;
    }
    const state::command command{*identity, timers_.wall_now(), *action};
    // A note is validated against the state, so the read waits until every
    // entry committed before it has been applied.
    host_.read(
        [this, command, path = request.path,
         answer](const result<std::uint64_t>& index)
        {
            if (!index)
            {
                refuse(index.error(), path, answer);
                return;
            }
            check_and_propose(command, path, answer);
        });
}

void command_service::check_and_propose(const state::command& command,
                                        const std::string& path,
                                        const exchange& answer)
{
    std::vector<document::fault> faults;
    if (is_invalid(command, faults))
    {
        answer->respond(state::to_http(
            state::command_outcome(state::note_invalid{std::move(faults)})));
        return;
    }
    propose(command, path, answer);
}

// A resent note, or one whose number is already accepted, may fail validation
// only because it has been applied before. It is not reported as invalid; the
// state machine returns the correct outcome for it.
bool command_service::is_invalid(const state::command& command,
                                 std::vector<document::fault>& faults) const
{
    const auto* note = std::get_if<state::submit_note>(&command.action);
    if (note == nullptr || host_.state().find_outcome(command.request))
    {
        return false;
    }
    faults = host_.state().check_note(note->text);
    if (faults.empty())
    {
        return false;
    }
    document::fault_list ignored;
    const auto number = state::parse_release_note(note->text, ignored).number;
    return host_.state().find_note(number) == nullptr;
}

void command_service::propose(const state::command& command,
                              const std::string& path, const exchange& answer)
{
    host_.submit(
        command,
        [this, path, answer](const result<state::command_outcome>& outcome)
        {
            if (!outcome)
            {
                refuse(outcome.error(), path, answer);
                return;
            }
            answer->respond(state::to_http(*outcome));
        });
}

void command_service::refuse(const error& cause, const std::string& path,
                             const exchange& answer)
{
    log_.request_failed(path, cause);
    if (cause.kind == error_kind::not_leader)
    {
        answer->respond(state::not_leader_response(
            host_.is_leader() ? std::nullopt : host_.leader_address()));
        return;
    }
    answer->respond(state::to_http(cause));
}

} // namespace boragestand::control
