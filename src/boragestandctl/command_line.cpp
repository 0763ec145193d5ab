#include "command_line.hpp"

#include "commands.hpp"
#include "settings/settings.hpp"

#include <chrono>
#include <ostream>
#include <random>
#include <sstream>

namespace boragestand::ctl
{

namespace
{

namespace options = boost::program_options;

constexpr const char* program = "boragestandctl";
constexpr std::size_t max_control_file_size = 65536;

int usage_exit_status()
{
    return error_info_for(error_kind::invalid_argument).exit_status;
}

options::options_description common_options()
{
    options::options_description description("Common options");
    description.add_options()(
        "control", options::value<std::vector<std::string>>()->composing(),
        "HTTP endpoint A.B.C.D:PORT of a control instance; repeatable")(
        "control-file", options::value<std::string>(),
        "YAML file {control: [A.B.C.D:PORT, ...]}")(
        "timeout", options::value<double>()->default_value(10),
        "seconds for the whole command")("json", "print the answer as JSON")(
        "client-id", options::value<std::string>(),
        "request identity of an earlier try, for a resend")(
        "client-sequence", options::value<std::uint64_t>(),
        "sequence of an earlier try, for a resend")("help",
                                                    "print this help and exit");
    return description;
}

void print_help(std::ostream& out)
{
    out << "Usage: " << program << " COMMAND [OPTIONS]\n\n"
        << "Operates a boragestand system.\n\nCommands:\n";
    for (const command_entry& each : all_commands())
    {
        out << "  " << each.name << " " << each.usage << "\n      "
            << each.summary << '\n';
    }
    out << "\nCOMMAND --help shows the options of a command; --version shows "
           "the version.\n\n"
        << common_options() << '\n';
    settings::print_exit_statuses(out);
}

void print_command_help(const command_entry& entry, std::ostream& out)
{
    out << "Usage: " << program << ' ' << entry.name << ' ' << entry.usage
        << "\n\n"
        << entry.summary << "\n\n";
    options::options_description own("Options of " + std::string(entry.name));
    entry.add_options(own);
    if (!own.options().empty())
    {
        out << own << '\n';
    }
    out << common_options();
}

int print_usage_error(std::ostream& err, const std::string& message)
{
    err << program << ": " << message << "; see --help\n";
    return usage_exit_status();
}

/// Parses the options after the command; throws options::error.
void parse_options(const command_entry& entry, int argc,
                   const char* const* argv, invocation& call)
{
    options::options_description description;
    description.add(common_options());
    entry.add_options(description);
    description.add_options()("arguments",
                              options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("arguments", -1);
    // The parser skips its first argument, here the name of the command.
    options::store(options::command_line_parser(argc - 1, argv + 1)
                       .options(description)
                       .positional(positional)
                       .run(),
                   call.options);
    if (call.options.contains("arguments"))
    {
        call.arguments =
            call.options["arguments"].as<std::vector<std::string>>();
    }
    call.json = call.options.contains("json");
}

/// Adds the endpoints of --control; an error names the malformed one.
result<void> add_control_endpoints(invocation& call)
{
    if (!call.options.contains("control"))
    {
        return {};
    }
    for (const std::string& text :
         call.options["control"].as<std::vector<std::string>>())
    {
        const auto parsed = transport::parse_endpoint(text);
        if (!parsed)
        {
            return failure(error_kind::invalid_argument,
                           "--control: expected A.B.C.D:PORT, found " + text);
        }
        call.control.push_back(*parsed);
    }
    return {};
}

/// Adds the endpoints listed in --control-file.
result<void> add_control_file_endpoints(invocation& call)
{
    if (!call.options.contains("control-file"))
    {
        return {};
    }
    const auto file = call.options["control-file"].as<std::string>();
    const auto text = settings::read_text_file(file, max_control_file_size);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    const auto endpoints = read_control_file(*text);
    if (!endpoints)
    {
        return failure(error_kind::invalid_settings,
                       file + ":" + to_string(endpoints.error().front()));
    }
    call.control.insert(call.control.end(), endpoints->begin(),
                        endpoints->end());
    return {};
}

result<void> set_timeout(invocation& call)
{
    const double seconds = call.options["timeout"].as<double>();
    if (!(seconds > 0 && seconds <= 86400))
    {
        return failure(error_kind::invalid_argument,
                       "--timeout must be above 0 and at most 86400");
    }
    call.timeout = duration(static_cast<std::int64_t>(seconds * 1e6));
    return {};
}

/// Sets the request identity: a random client id and the wall time in
/// milliseconds as the sequence, unless options give them.
void set_identity(invocation& call)
{
    std::random_device random;
    std::ostringstream client;
    client << "ctl-" << std::hex << random() << random();
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    call.identity = {client.str(), static_cast<std::uint64_t>(
                                       now.time_since_epoch().count())};
    if (call.options.contains("client-id"))
    {
        call.identity.client = call.options["client-id"].as<std::string>();
    }
    if (call.options.contains("client-sequence"))
    {
        call.identity.sequence =
            call.options["client-sequence"].as<std::uint64_t>();
    }
}

result<void> complete_invocation(invocation& call)
{
    if (auto set = set_timeout(call); !set)
    {
        return set;
    }
    if (auto added = add_control_endpoints(call); !added)
    {
        return added;
    }
    if (auto added = add_control_file_endpoints(call); !added)
    {
        return added;
    }
    set_identity(call);
    if (call.control.empty() && !call.options.contains("instance"))
    {
        return failure(error_kind::invalid_argument,
                       "--control or --control-file is required");
    }
    return {};
}

std::variant<invocation, int> parse_command(const command_entry& entry,
                                            int argc, const char* const* argv,
                                            std::ostream& out,
                                            std::ostream& err)
{
    invocation call;
    call.command = entry.name;
    try
    {
        parse_options(entry, argc, argv, call);
    }
    catch (const options::error& fault)
    {
        return print_usage_error(err, fault.what());
    }
    if (call.options.contains("help"))
    {
        print_command_help(entry, out);
        return 0;
    }
    if (call.arguments.size() < entry.min_arguments ||
        call.arguments.size() > entry.max_arguments)
    {
        return print_usage_error(err, "usage: " + std::string(entry.name) +
                                          " " + std::string(entry.usage));
    }
    if (const auto completed = complete_invocation(call); !completed)
    {
        print_usage_error(err, completed.error().message);
        return error_info_for(completed.error().kind).exit_status;
    }
    return call;
}

} // namespace

document::checked<std::vector<transport::endpoint>>
read_control_file(std::string_view yaml)
{
    document::fault_list faults;
    std::vector<transport::endpoint> endpoints;
    const auto node = document::parse_yaml(yaml, max_control_file_size, faults);
    if (node)
    {
        document::mapping_reader root(*node, "", faults);
        root.read_list("control", document::presence::required,
                       [&](const YAML::Node& item, const std::string& path)
                       {
                           const auto parsed =
                               item.IsScalar()
                                   ? transport::parse_endpoint(item.Scalar())
                                   : failure(error_kind::invalid_argument, "");
                           if (parsed)
                           {
                               endpoints.push_back(*parsed);
                               return;
                           }
                           faults.add(document::position_of(item),
                                      path + ": expected A.B.C.D:PORT, found " +
                                          document::describe(item));
                       });
        root.finish();
    }
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return endpoints;
}

std::variant<invocation, int> parse_command_line(int argc,
                                                 const char* const* argv,
                                                 std::ostream& out,
                                                 std::ostream& err)
{
    const std::string_view first = argc > 1 ? argv[1] : "";
    if (first == "--help" || first == "help")
    {
        print_help(out);
        return 0;
    }
    if (first == "--version")
    {
        out << program << ' ' << settings::version() << '\n';
        return 0;
    }
    const command_entry* entry = find_command(first);
    if (entry == nullptr)
    {
        return print_usage_error(
            err, first.empty() ? std::string("a command is required")
                               : "unknown command " + std::string(first));
    }
    return parse_command(*entry, argc, argv, out, err);
}

} // namespace boragestand::ctl
