package review;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The path of one entry to the store. While it is cut, calls are held up. Names the entry's own paths to replicas. */
public final class StoreFront extends Http {

    private final Store store;
    private final Map<String, String> addresses = new ConcurrentHashMap<>();
    private volatile boolean cut;

    public StoreFront(Record record, Store store) throws IOException {
        super(record);
        this.store = store;
    }

    /** Names another address in place of one that a replica has registered. */
    public void replaceAddress(String registered, String replacement) {
        addresses.put(registered, replacement);
    }

    public void setCut(boolean cut) {
        this.cut = cut;
    }

    @Override
    protected boolean handle(Request request, Socket socket) throws IOException {
        if (cut) {
            // Nothing gets through on this connection any more; the entry gives it up after its time-out.
            sleep(120_000);
            return false;
        }
        boolean open = store.respond(request, new HeldSocket(socket, () -> cut), addresses);
        return open && !cut;
    }

    /** Drops what is written while the path is cut. */
    private static final class HeldSocket extends Socket {

        private final Socket socket;
        private final java.util.function.BooleanSupplier cut;

        HeldSocket(Socket socket, java.util.function.BooleanSupplier cut) {
            this.socket = socket;
            this.cut = cut;
        }

        @Override
        public java.io.OutputStream getOutputStream() throws IOException {
            if (cut.getAsBoolean()) {
                sleep(120_000);
            }
            return socket.getOutputStream();
        }
    }
}
