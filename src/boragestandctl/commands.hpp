#pragma once

#include "control_group.hpp"
#include "invocation.hpp"

#include <boost/program_options.hpp>

#include <span>
#include <string>
#include <string_view>

namespace boragestand::ctl
{

/// Name, help texts, options and function of a command.
struct command_entry
{
    std::string_view name;
    std::string_view usage; ///< arguments and options, for help
    std::string_view summary;
    std::size_t min_arguments;
    std::size_t max_arguments;
    void (*add_options)(boost::program_options::options_description& options);
    command_report (*run)(const invocation& call, control_group& group);
};

/// All commands in the order of the help.
std::span<const command_entry> all_commands();

/// The command with this name, or null.
const command_entry* find_command(std::string_view name);

/// submit FILE
command_report run_submit(const invocation& call, control_group& group);

/// check FILE
command_report run_check(const invocation& call, control_group& group);

/// diff FILE
command_report run_diff(const invocation& call, control_group& group);

/// show [NUMBER]
command_report run_show(const invocation& call, control_group& group);

/// status
command_report run_status(const invocation& call, control_group& group);

/// drain SERVICE UPSTREAM, or drain --instance A.B.C.D:PORT
command_report run_drain(const invocation& call, control_group& group);

/// undrain SERVICE UPSTREAM
command_report run_undrain(const invocation& call, control_group& group);

/// agree
command_report run_agree(const invocation& call, control_group& group);

/// member add|remove|replace
command_report run_member(const invocation& call, control_group& group);

} // namespace boragestand::ctl
