package review;

import java.io.IOException;

/** Something that listens on a loopback port. */
public interface Server extends AutoCloseable {

    void start();

    @Override
    void close() throws IOException;
}
