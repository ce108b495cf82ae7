package dapplequay.lab.http;

import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One non-blocking connection of a loop: reads into a framer, writes what it can and keeps the rest. */
public abstract class HttpConnection implements EventLoop.Handler {
    /** One buffer for each loop's thread: what is read is copied into the framer at once. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER = ThreadLocal.withInitial(() -> ByteBuffer.allocate(65536));

    protected final SocketChannel channel;
    protected final MessageParser framer;
    private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>(0);
    private SelectionKey key;
    private boolean closed;
    private boolean closeWhenWritten;
    private boolean readingStopped;

    protected HttpConnection(SocketChannel channel, boolean responses) {
        this.channel = channel;
        framer = new MessageParser(responses);
    }

    public void register(EventLoop loop, int interest) throws IOException {
        key = loop.register(channel, interest, this);
    }

    /** Bytes have come; they are in the framer. */
    protected abstract void onBytesReceived() throws IOException;

    /** The peer sends nothing more. */
    protected abstract void onPeerClosed();

    /** The connection is closed, whoever did it; told once. */
    protected abstract void onClosed();

    protected void onConnected() throws IOException { }

    @Override
    public void onReady(SelectionKey ready) throws IOException {
        if (ready.isConnectable()) {
            channel.finishConnect();
            ready.interestOps(SelectionKey.OP_READ);
            onConnected();
        }
        if (!closed && ready.isWritable()) {
            flush();
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = READ_BUFFER.get();
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
            onPeerClosed();
            return;
        }
        buffer.flip();
        framer.append(buffer);
        onBytesReceived();
    }

    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        pendingWrites.add(ByteBuffer.wrap(bytes));
        try {
            flush();
        } catch (IOException e) {
            onError(e);
        }
    }

    /** Closes in order when all that was written has left. */
    protected void closeWhenWritten() {
        closeWhenWritten = true;
        if (pendingWrites.isEmpty()) {
            close();
        }
    }

    private void flush() throws IOException {
        while (!pendingWrites.isEmpty()) {
            channel.write(pendingWrites.peek());
            if (pendingWrites.peek().hasRemaining()) {
                setInterest(SelectionKey.OP_WRITE | (readingStopped ? 0 : SelectionKey.OP_READ));
                return;
            }
            pendingWrites.poll();
        }
        setInterest(readingStopped ? 0 : SelectionKey.OP_READ);
        if (closeWhenWritten) {
            close();
        }
    }

    /** Reads nothing more: the peer finds the connection open and silent. */
    protected void stopReading() {
        readingStopped = true;
        setInterest(0);
    }

    private void setInterest(int ops) {
        if (key != null && key.isValid()) {
            key.interestOps(ops);
        }
    }

    public boolean isClosed() {
        return closed;
    }

    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            java.util.logging.Logger.getLogger(HttpConnection.class.getName()).finest(e.toString());
        }
        onClosed();
    }

    /** Closes with a reset in place of an orderly end. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            java.util.logging.Logger.getLogger(HttpConnection.class.getName()).finest(e.toString());
        }
        close();
    }

    @Override
    public void onError(IOException cause) {
        close();
    }
}
