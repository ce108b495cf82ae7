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

/** Where clients come in: a listening socket, this process's own or one that it shares with its successor. */
interface ListeningSocket {
    /** Opens it; IOException where it is not to be had. */
    interface Opener {
        ListeningSocket open() throws IOException;
    }

    InetSocketAddress address();

    /** The next connection; null where the door was shut meanwhile. */
    Socket accept() throws IOException;

    /** Whether others accept from the same queue, so that this process may stop while clients still come. */
    boolean isShared();

    /** No connection is accepted any more; those that wait are left to whom else the door belongs. */
    void stopAccepting();

    /** An end has been ordered: whoever waits at the door looks more often whether it is to be shut. */
    void prepareToStop();

    /** {@link #shut}, but only once nobody waits any more: who waits already is still accepted, one after the other. */
    void stopOnceQueueEmpty();

    /** True once it was shut. */
    boolean isStopped();

    /** A door of this process alone: what the system has accepted before it is shut is this process's to answer. */
    final class Owned implements ListeningSocket {
        private static final int BACKLOG = 1024;

        /** So often, ms, a thread that waits looks whether the door is to be shut, and so long where it is. */
        private static final int POLL_MS = 100;
        private static final int ENDING_POLL_MS = 20;
        private static final int LAST_POLL_MS = 1;

        private final ServerSocket listener;
        private volatile int pollMs = POLL_MS;
        private volatile boolean stopsOnceQueueEmpty;

        Owned(InetSocketAddress listen) throws IOException {
            this(new ServerSocket());
            listener.bind(listen, BACKLOG);
        }

        /** With a listener that is bound, or is going to be. */
        Owned(ServerSocket listener) {
            this.listener = listener;
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        @Override
        public Socket accept() throws IOException {
            while (true) {
                boolean isLastPoll = stopsOnceQueueEmpty;      // asked first: only who came behind this moment may be left out
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
            Sockets.close(listener);
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
     * A listening socket that the platform holds and every process inherits as descriptor 0. It is never closed here:
     * that would close the standard streams too, and nothing may be done to it that its other users would feel.
     */
    final class Inherited implements ListeningSocket {
        private final ServerSocketChannel channel;
        private final Selector selector;
        private volatile boolean isStopped;

        /** IOException where descriptor 0 is no listening socket. */
        Inherited() throws IOException {
            this(System.inheritedChannel());
        }

        Inherited(Channel inherited) throws IOException {
            if (!(inherited instanceof ServerSocketChannel listening) || listening.getLocalAddress() == null) {
                throw new IOException("descriptor 0 is no listening socket");
            }
            channel = listening;
            // Belongs to the socket and so to all processes: each sets it, none takes it back.
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_ACCEPT);
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.socket().getLocalSocketAddress();
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

        /** Who waits is the others' to accept. */
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
