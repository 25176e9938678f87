/** Tells when the settings file has changed since it was last read. */
#pragma once

#include <cstdint>
#include <string>

namespace copperlead::sidecar
{

class SettingsFile
{
public:
    /** @param pathToWatch  empty: there is none */
    explicit SettingsFile (std::string pathToWatch);

    const std::string& path() const { return filePath; }

    /** A file that is missing has not changed. */
    bool changed() const;

    /** To be called before it is read. */
    void markRead();

private:
    std::string filePath;
    std::int64_t readStamp = 0;
};

} // namespace copperlead::sidecar
