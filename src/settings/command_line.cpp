#include "settings/command_line.hpp"

#include "settings/settings_reader.hpp"
#include "settings/text_file.hpp"

#include <boost/program_options.hpp>

#include <ostream>

namespace boragestand::settings
{

namespace
{

namespace options = boost::program_options;

constexpr int success = 0;

int exit_status_for(error_kind kind)
{
    return error_info_for(kind).exit_status;
}

options::options_description make_options()
{
    options::options_description description("Options");
    description.add_options()("settings", options::value<std::string>(),
                              "settings file (YAML)")(
        "check-settings", "check the settings file and exit")(
        "print-settings",
        "print the settings with defaults filled in and exit")(
        "version", "print the version and exit")("help",
                                                 "print this help and exit");
    return description;
}

void print_help(const program_description& program, std::ostream& out)
{
    out << "Usage: " << program.name << " --settings FILE\n\n"
        << program.summary << "\n\n"
        << make_options() << '\n';
    print_exit_statuses(out);
}

struct parsed_options
{
    options::variables_map values;
    int status{success};
};

parsed_options parse_options(const program_description& program, int argc,
                             const char* const* argv, std::ostream& err)
{
    parsed_options parsed;
    try
    {
        options::store(options::command_line_parser(argc, argv)
                           .options(make_options())
                           .positional({})
                           .run(),
                       parsed.values);
    }
    catch (const options::error& fault)
    {
        err << program.name << ": " << fault.what() << "; see --help\n";
        parsed.status = exit_status_for(error_kind::invalid_argument);
    }
    return parsed;
}

template <typename Settings>
command_line_result<Settings>
read_settings(const std::string& file,
              document::checked<Settings> (*read)(std::string_view),
              std::ostream& err)
{
    const auto text = read_text_file(file, max_settings_size);
    if (!text)
    {
        err << text.error().message << '\n';
        return exit_status_for(error_kind::invalid_settings);
    }
    auto settings = read(*text);
    if (settings)
    {
        return *std::move(settings);
    }
    for (const document::fault& fault : settings.error())
    {
        err << file << ':' << to_string(fault) << '\n';
    }
    return exit_status_for(error_kind::invalid_settings);
}

template <typename Settings>
command_line_result<Settings>
parse_command_line(const program_description& program, int argc,
                   const char* const* argv, std::ostream& out,
                   std::ostream& err,
                   document::checked<Settings> (*read)(std::string_view),
                   std::string* file = nullptr)
{
    const parsed_options parsed = parse_options(program, argc, argv, err);
    if (parsed.status != success)
    {
        return parsed.status;
    }
    if (parsed.values.contains("help"))
    {
        print_help(program, out);
        return success;
    }
    if (parsed.values.contains("version"))
    {
        out << program.name << ' ' << version() << '\n';
        return success;
    }
    if (!parsed.values.contains("settings"))
    {
        err << program.name << ": --settings FILE is required; see --help\n";
        return exit_status_for(error_kind::invalid_argument);
    }
    const auto name = parsed.values["settings"].as<std::string>();
    if (file != nullptr)
    {
        *file = name;
    }
    command_line_result<Settings> outcome = read_settings(name, read, err);
    if (const auto* settings = std::get_if<Settings>(&outcome))
    {
        if (parsed.values.contains("print-settings"))
        {
            out << to_yaml(*settings);
            return success;
        }
        if (parsed.values.contains("check-settings"))
        {
            return success;
        }
    }
    return outcome;
}

} // namespace

std::string_view version()
{
    return BORAGESTAND_VERSION;
}

void print_exit_statuses(std::ostream& out)
{
    out << "Exit status:\n  0  success\n";
    for (int value = 0; value <= static_cast<int>(error_kind::internal);
         ++value)
    {
        const error_info& answer =
            error_info_for(static_cast<error_kind>(value));
        out << "  " << answer.exit_status << "  " << answer.name << ": "
            << answer.text << '\n';
    }
}

command_line_result<entry_settings>
parse_entry_command_line(const program_description& program, int argc,
                         const char* const* argv, std::ostream& out,
                         std::ostream& err)
{
    return parse_command_line<entry_settings>(program, argc, argv, out, err,
                                              &read_entry_settings);
}

command_line_result<control_settings>
parse_control_command_line(const program_description& program, int argc,
                           const char* const* argv, std::ostream& out,
                           std::ostream& err)
{
    return parse_command_line<control_settings>(program, argc, argv, out, err,
                                                &read_control_settings);
}

command_line_result<settings_watch>
parse_fleet_command_line(const program_description& program, int argc,
                         const char* const* argv, std::ostream& out,
                         std::ostream& err)
{
    std::string file;
    auto outcome = parse_command_line<fleet_settings>(
        program, argc, argv, out, err, &read_fleet_settings, &file);
    if (const auto* status = std::get_if<int>(&outcome))
    {
        return *status;
    }
    return settings_watch(file, std::get<fleet_settings>(std::move(outcome)));
}

} // namespace boragestand::settings
