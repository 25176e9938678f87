/** Detects changes of the settings file since it was last read. */
#pragma once

#include <cstdint>
#include <string>

namespace copperlead::sidecar
{

class SettingsFile
{
public:
    /** @param pathToWatch  empty if there is no settings file */
    explicit SettingsFile (std::string pathToWatch);

    const std::string& path() const { return filePath; }

    /** Whether the file has changed. A missing file counts as unchanged. */
    bool changed() const;

    /** Must be called before the file is read. */
    void markRead();

private:
    std::string filePath;
    std::int64_t readStamp = 0;
};

} // namespace copperlead::sidecar
