package dapplequay.net;

import dapplequay.http.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.Channel;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** The socket that accepts clients: either this process's own, or one that it shares with its successor. */
interface ListeningSocket {
    /** Opens a listening socket; throws IOException if that is not possible. */
    interface Opener {
        ListeningSocket open() throws IOException;
    }

    InetSocketAddress address();

    /** Returns the next connection, or null if accepting was stopped meanwhile. */
    Socket accept() throws IOException;

    /** Waits up to {@code maxWaitMs} milliseconds; true if a client waits to be accepted. For the accepting thread. */
    boolean awaitClient(int maxWaitMs) throws IOException;

    /** True if other processes accept from the same queue, so that this one may stop while clients still connect. */
    boolean isShared();

    /** Stops accepting; connections that are still queued are left to the other processes that share the socket. */
    void stopAccepting();

    /** Tells that shutdown has begun: {@link #accept} checks more often whether it should stop. */
    void prepareToStop();

    /** Stops accepting once the queue is empty; connections that are already queued are still accepted. */
    void stopOnceQueueEmpty();

    /** True once accepting was stopped. */
    boolean isStopped();

    /**
     * A socket of this process alone: it has to answer every connection that the system accepts before it is closed.
     */
    final class Owned implements ListeningSocket {
        private static final int BACKLOG = 1024;

        /**
         * How long one accept call blocks, in milliseconds: usually, during shutdown, and while the queue is emptied.
         * Between two calls the thread checks whether it should stop.
         */
        private static final int POLL_MS = 100;
        private static final int ENDING_POLL_MS = 20;
        private static final int LAST_POLL_MS = 1;

        private final ServerSocket listener;
        private volatile int pollMs = POLL_MS;
        private volatile boolean stopsOnceQueueEmpty;
        /** Found by {@link #awaitClient}, and returned by the next call of {@link #accept}; else null. */
        private volatile Socket waitingClient;

        Owned(InetSocketAddress listen) throws IOException {
            this(ServerSocketChannel.open().socket());
            listener.bind(listen, BACKLOG);
        }

        /** Takes a listener that is bound or will be, and whose connections belong to channels. */
        Owned(ServerSocket listener) {
            this.listener = listener;
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        @Override
        public boolean awaitClient(int maxWaitMs) throws IOException {
            if (waitingClient == null) {
                listener.setSoTimeout(maxWaitMs);
                try {
                    waitingClient = listener.accept();
                } catch (SocketTimeoutException e) {
                    return false;
                }
            }
            return waitingClient != null;
        }

        @Override
        public Socket accept() throws IOException {
            Socket client = waitingClient == null ? acceptNext() : waitingClient;
            waitingClient = null;
            return client;
        }

        private Socket acceptNext() throws IOException {
            while (true) {
                // Read before the call: only connections that arrive after this moment may be left out.
                boolean isLastPoll = stopsOnceQueueEmpty;
                try {
                    listener.setSoTimeout(isLastPoll ? LAST_POLL_MS : pollMs);
                    return listener.accept();
                } catch (SocketTimeoutException e) {
                    if (isLastPoll) {
                        stopAccepting();
                        return null;
                    }
                } catch (IOException e) {
                    if (isStopped()) {
                        return null;
                    }
                    throw e;
                }
            }
        }

        @Override
        public boolean isShared() {
            return false;
        }

        @Override
        public void stopAccepting() {
            Sockets.closeQuietly(listener);
            Sockets.closeQuietly(waitingClient);
        }

        @Override
        public void prepareToStop() {
            pollMs = ENDING_POLL_MS;
        }

        @Override
        public void stopOnceQueueEmpty() {
            stopsOnceQueueEmpty = true;
        }

        @Override
        public boolean isStopped() {
            return listener.isClosed();
        }
    }

    /**
     * A listening socket that the platform owns and every process inherits as descriptor 0. It is never closed here, as
     * that would close the standard streams too, and its state is not changed in a way that other users would notice.
     */
    final class Inherited implements ListeningSocket {
        private final ServerSocketChannel channel;
        private final Selector selector;
        private volatile boolean isStopped;

        /** Throws IOException if descriptor 0 is not a listening socket. */
        Inherited() throws IOException {
            this(System.inheritedChannel());
        }

        Inherited(Channel inherited) throws IOException {
            if (!(inherited instanceof ServerSocketChannel listening) || listening.getLocalAddress() == null) {
                throw new IOException("descriptor 0 is no listening socket");
            }
            channel = listening;
            // Non-blocking mode belongs to the socket and so to all processes: each sets it, and none resets it.
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_ACCEPT);
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
        }

        /** Another process may accept the client before this one does. */
        @Override
        public boolean awaitClient(int maxWaitMs) throws IOException {
            selector.select(maxWaitMs);
            boolean isWaiting = !selector.selectedKeys().isEmpty();
            selector.selectedKeys().clear();
            return isWaiting;
        }

        @Override
        public Socket accept() throws IOException {
            while (!isStopped) {
                SocketChannel accepted = channel.accept();
                if (accepted != null) {
                    return accepted.socket();
                }
                try {
                    selector.select();
                    selector.selectedKeys().clear();
                } catch (ClosedSelectorException e) {
                    return null;
                }
            }
            return null;
        }

        @Override
        public boolean isShared() {
            return true;
        }

        @Override
        public void stopAccepting() {
            isStopped = true;
            selector.wakeup();
        }

        @Override
        public void prepareToStop() { }

        /** Stops at once: the other processes accept what is queued. */
        @Override
        public void stopOnceQueueEmpty() {
            stopAccepting();
        }

        @Override
        public boolean isStopped() {
            return isStopped;
        }
    }
}
