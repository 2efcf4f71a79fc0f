// Passes connections on to another address. A script cuts the path by stopping this process, and heals it by letting it
// go on: meanwhile nothing is answered and nothing is lost.
#include "Http.h"

#include <thread>

using namespace review;

namespace {

void pump(int from, int to)
{
    char bytes[16384];
    while (true) {
        const auto size = recv(from, bytes, sizeof bytes, 0);
        if (size <= 0 || send(to, bytes, static_cast<std::size_t>(size), MSG_NOSIGNAL) != size)
            break;
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
}

}

int main(int count, char** arguments)
{
    const Options options(count, arguments);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto bound = addressOf(options.text("listen"));
    if (bind(listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 || listen(listener, 128) != 0) {
        std::perror("listen");
        return 2;
    }
    while (true) {
        const int caller = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0)
            continue;
        std::thread([caller, to = addressOf(options.text("to"))] {
            const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
                std::thread back([caller, server] { pump(server, caller); });
                pump(caller, server);
                back.join();
            }
            close(server);
            close(caller);
        }).detach();
    }
}
