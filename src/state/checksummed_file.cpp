#include "state/checksummed_file.hpp"

#include "state/record_frame.hpp"

namespace boragestand::state
{

result<std::string> read_checksummed_file(disk& files, std::string_view name)
{
    const auto content = files.read(name);
    if (!content)
    {
        return content;
    }
    const frame_scan frame = scan_frame(*content, 0);
    if (frame.state != frame_state::valid || frame.end != content->size())
    {
        return failure(error_kind::storage_corrupt,
                       std::string(name) + " at offset 0: checksum mismatch");
    }
    return std::string(frame.payload);
}

result<void> replace_checksummed_file(disk& files, std::string_view name,
                                      std::string_view payload)
{
    const std::string temporary =
        std::string(name) + std::string(temporary_suffix);
    const auto replaced =
        files.remove(temporary)
            .and_then([&]
                      { return files.append(temporary, make_frame(payload)); })
            .and_then([&] { return files.sync(temporary); })
            .and_then([&] { return files.rename(temporary, name); })
            .and_then([&] { return files.sync_directory(); });
    if (!replaced && replaced.error().kind == error_kind::storage_full)
    {
        // An incomplete file would take the room of smaller ones.
        static_cast<void>(files.remove(temporary));
    }
    return replaced;
}

} // namespace boragestand::state
