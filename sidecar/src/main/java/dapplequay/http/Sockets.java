package dapplequay.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Small things about sockets. */
public final class Sockets {
    private Sockets() { }

    /** Closes what may be null or closed already; that it fails then changes nothing for anybody. */
    public static void closeQuietly(Closeable socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone either way.
            }
        }
    }

    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
