package dapplequay.lab.http;

import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A non-blocking HTTP connection on an event loop: parses what it reads and queues what it cannot write yet. */
public abstract class HttpConnection implements EventLoop.Handler {
    /** Read buffer shared by all connections of a thread; its content is copied into the parser at once. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocate(65536));

    protected final SocketChannel channel;
    protected final MessageParser parser;
    private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>(0);
    private SelectionKey key;
    private boolean closed;
    private boolean closeWhenWritten;
    private boolean readingStopped;

    protected HttpConnection(SocketChannel channel, boolean responses) {
        this.channel = channel;
        parser = new MessageParser(responses);
    }

    public void register(EventLoop loop, int interest) throws IOException {
        key = loop.register(channel, interest, this);
    }

    /** Called when bytes have arrived and were passed to the parser. */
    protected abstract void onBytesReceived() throws IOException;

    /** Called when the peer has closed its side of the connection. */
    protected abstract void onPeerClosed();

    /** Called once when the connection is closed, by either side. */
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
        parser.append(buffer);
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

    /** Closes the connection once all queued bytes are written. */
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

    /** Stops reading but keeps the connection open, so that the peer gets no answer. */
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

    /** Closes the connection with a TCP reset. */
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
