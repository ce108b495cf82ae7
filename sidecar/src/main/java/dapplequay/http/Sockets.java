package dapplequay.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Socket utilities. */
public final class Sockets {
    private Sockets() { }

    /** Closes a resource that may be null or closed already, ignoring failures. */
    public static void closeQuietly(Closeable socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The resource is released either way.
            }
        }
    }

    /** Formats an address as IP address, colon and port. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
