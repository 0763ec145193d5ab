#include "commands.hpp"

#include <algorithm>
#include <array>

namespace boragestand::ctl
{

namespace
{

namespace options = boost::program_options;

void add_no_options(options::options_description&) {}

void add_submit_options(options::options_description& description)
{
    description.add_options()("no-wait",
                              "return when the note is accepted, without "
                              "waiting until it is in effect");
}

void add_drain_options(options::options_description& description)
{
    description.add_options()(
        "instance", options::value<std::string>(),
        "stop this entry instance as planned (its HTTP endpoint)");
}

void add_agree_options(options::options_description& description)
{
    description.add_options()("director", options::value<std::string>(),
                              "director who agrees")(
        "service", options::value<std::string>(), "service that may refuse")(
        "rule", options::value<std::string>()->default_value(""),
        "rule that may refuse; empty for callers that find no slot")(
        "limit", options::value<std::uint32_t>(),
        "refusals per minute of each instance")(
        "expires", options::value<std::uint32_t>(),
        "seconds until the agreement ends")(
        "withdraw", options::value<std::uint64_t>(),
        "end the agreement with this id instead");
}

void add_member_options(options::options_description& description)
{
    description.add_options()("id", options::value<std::uint32_t>(),
                              "identity of the control instance")(
        "http", options::value<std::string>(),
        "its HTTP endpoint (add, replace)")(
        "replaces", options::value<std::uint32_t>(),
        "identity that it replaces (replace)");
}

constexpr std::array<command_entry, 9> commands{{
    {"submit", "FILE [--no-wait]",
     "Submit a release note, wait until it is in effect, and say where. Exits "
     "with 1 if it is accepted, but not in effect everywhere.",
     1, 1, &add_submit_options, &run_submit},
    {"check", "FILE",
     "Check a release note against the configuration without a change.", 1, 1,
     &add_no_options, &run_check},
    {"diff", "FILE", "Show what a release note would change.", 1, 1,
     &add_no_options, &run_diff},
    {"status", "", "Show the control group and what is in effect where.", 0, 0,
     &add_no_options, &run_status},
    {"show", "[NUMBER]",
     "Show an accepted release note, or the configuration in effect.", 0, 1,
     &add_no_options, &run_show},
    {"drain", "SERVICE UPSTREAM | --instance A.B.C.D:PORT",
     "Give an upstream no new flows, or stop an entry instance as planned.", 0,
     2, &add_drain_options, &run_drain},
    {"undrain", "SERVICE UPSTREAM", "Give an upstream new flows again.", 2, 2,
     &add_no_options, &run_undrain},
    {"agree",
     "--director NAME --service NAME [--rule NAME] --limit N --expires SECONDS"
     " | --withdraw ID",
     "Record a director's agreement to refusals, or withdraw one.", 0, 0,
     &add_agree_options, &run_agree},
    {"member",
     "add --id N --http A.B.C.D:PORT | remove --id N | replace --id N --http "
     "A.B.C.D:PORT --replaces N",
     "Change the control group.", 1, 1, &add_member_options, &run_member},
}};

} // namespace

std::span<const command_entry> all_commands()
{
    return commands;
}

const command_entry* find_command(std::string_view name)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [name](const command_entry& each)
                                    { return each.name == name; });
    return found == commands.end() ? nullptr : &*found;
}

} // namespace boragestand::ctl
