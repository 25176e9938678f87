// Review case 2. Some more users upload large bodies, all within the limits of the configuration. The platform
// kills a process that uses more memory than `limits.memory_mb`, as the pages say, and starts it again.
// usage: large_uploads RECORD SIDECAR TROUBLE; ends with 1 if LOST is broken, 0 if not, 2 if it couldn't run.
#include "rig.h"

using namespace rig;

namespace
{

constexpr long memoryMb = 260; // limits.memory_mb of the site's machines.
constexpr int keptConnections = 20, ledgerWorkMs = 1000, apartMs = 50;
constexpr std::size_t usualBytes = 60000, largeBytes = 60 << 20; // max_body_bytes is 64 MiB.
constexpr int periods = 3, largeMs = 3000, usualMs = 5000, connectedMs = 3000;
constexpr int mostLost = 3;

long residentKb (pid_t pid)
{
    long pages = 0, resident = 0;
    std::FILE* file = std::fopen (("/proc/" + std::to_string (pid) + "/statm").c_str(), "r");
    if (file == nullptr) return 0;
    if (std::fscanf (file, "%ld %ld", &pages, &resident) != 2) resident = 0;
    std::fclose (file);
    return resident * (sysconf (_SC_PAGESIZE) / 1024);
}

} // namespace

int main (int argc, char** argv)
{
    if (argc < 4) return 2;
    signal (SIGPIPE, SIG_IGN);
    Record::get().open (argv[1]);
    const bool trouble = std::string (argv[3]) != "0";
    Deployment mesh;
    mesh.add ("huvo11a", "i-7f3a91c2", 12);
    auto& ledger = mesh.add ("wuno96b", "i-02d9e6b4", 40);
    ledger.workMs = [] (const std::string& path) { return path.starts_with ("/pule252/") ? 140 : ledgerWorkMs; };

    if (! mesh.start (argv[2], route ("r-2b9wu3f", "/pufi791/", "idempotent", "wuno96b", 2500, 2000, 1) + "," + route ("r-0t55mzw", "/pule252/", "upload", "wuno96b", 3000, 500, 1)))
    {
        mesh.end();
        std::fprintf (stderr, "the deployment didn't start\n");
        return 2;
    }

    auto& node = *mesh.machines[0];
    KeptClients kept (node, ledger, keptConnections, "/pufi791/2f", apartMs);
    std::atomic<bool> stop{ false };
    std::atomic<int> uploads{ 0 }, kills{ 0 };
    std::atomic<long> most{ 0 };
    std::vector<std::thread> threads;

    // The platform's watch over the memory of the process.
    threads.emplace_back (
        [&]
        {
            while (! stop)
            {
                const pid_t pid = node.pid;
                const long kb = pid > 0 ? residentKb (pid) : 0;
                if (kb > most) most = kb;
                if (kb > memoryMb * 1024)
                {
                    RECORD ("platform: the process of %s uses %ld KB, more than %ld MB, and is killed", node.id.c_str(), kb, memoryMb);
                    ++kills;
                    node.killed = true;
                    kill (pid, SIGKILL);
                    while (node.pid == pid && ! stop) pause (5);
                }
                pause (2);
            }
        });

    const std::string manifest (largeBytes, 'm');
    std::atomic<bool> large{ false };
    threads.emplace_back (
        [&]
        {
            for (int number = 0; ! stop;)
            {
                const int fd = connectTo (node.ip, node.outbound);
                if (fd < 0) { pause (20); continue; }
                Reader reader (fd);
                Message answer;
                for (bool good = true; good && ! stop;)
                {
                    const auto id = "upload-" + std::to_string (number++);
                    const auto bytes = large ? largeBytes : usualBytes;
                    good = sendAll (fd, postHead ("/pule252/2f", id, 3000, bytes)) && sendAll (fd, manifest.data(), bytes) && reader.read (answer, Clock::now() + Ms (3000));
                    if (good) RECORD ("client: %s of %zu bytes got %d", id.c_str(), bytes, answer.status());
                    else RECORD ("client: %s of %zu bytes got no answer", id.c_str(), bytes);
                    uploads += good && answer.status() == 200;
                    good = good && answer.field ("Connection") != "close";
                    pause (100);
                }
                close (fd);
            }
        });

    pause (connectedMs + 500);

    for (int period = 0; period < periods; ++period)
    {
        RECORD ("period %d: bodies of %zu bytes", period, usualBytes);
        pause (usualMs);
        RECORD ("period %d: bodies of %zu bytes", period, trouble ? largeBytes : usualBytes);
        large = trouble;
        for (int i = 0; i < largeMs / 20 && kills <= period; ++i) pause (20);
        large = false;
        pause (500);
        node.awaitReady();
        pause (connectedMs);
    }

    stop = true;
    kept.end();
    for (auto& thread : threads) thread.join();
    const int lost = kept.lost;
    const auto text = "the process used " + std::to_string (most / 1024) + " MB at most (memory_mb " + std::to_string (memoryMb) + ") and was killed for that " + std::to_string (kills) +
                      " times; passed on to a sound instance and cut: " + std::to_string (lost) + " (more than " + std::to_string (mostLost) + " break LOST); served on kept connections: " +
                      std::to_string (kept.served) + "; uploads: " + std::to_string (uploads);
    RECORD ("%s", text.c_str());
    std::printf ("%s\n", text.c_str());
    std::fflush (stdout);
    mesh.end();
    _exit (lost > mostLost ? 1 : kept.served > 0 ? 0 : 2);
}
