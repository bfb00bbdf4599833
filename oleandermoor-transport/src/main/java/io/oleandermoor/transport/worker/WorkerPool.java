package io.oleandermoor.transport.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A fixed number of worker threads. Events with the same key run on the same worker in the order in which they were
 * handed over, so that the state of one request needs no lock. Safe for use by several threads.
 */
public final class WorkerPool implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(WorkerPool.class);

    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final List<ExecutorService> workers = new ArrayList<>();

    /**
     * Creates the pool.
     *
     * @param size the number of threads, at least 1
     */
    public WorkerPool(int size) {
        if (size < 1) {
            throw new IllegalArgumentException("size must be at least 1 but is " + size);
        }
        for (int index = 0; index < size; index++) {
            int number = index;
            ExecutorService worker = Executors.newSingleThreadExecutor(task -> {
                Thread thread = new Thread(task, "worker-" + number);
                thread.setDaemon(true);
                return thread;
            });
            workers.add(worker);
        }
    }

    /**
     * Returns the worker of a key.
     *
     * @param key a number that identifies the request
     * @return an executor that runs its tasks one after the other
     */
    public Executor executor(long key) {
        ExecutorService worker = workers.get(index(key));
        return task -> {
            if (!worker.isShutdown()) {
                worker.execute(() -> run(task));
            }
        };
    }

    @Override
    public void close() {
        workers.forEach(ExecutorService::shutdown);
        try {
            for (ExecutorService worker : workers) {
                if (!worker.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    worker.shutdownNow();
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private int index(long key) {
        return (int) Math.floorMod(key ^ (key >>> 32), workers.size());
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException exception) {
            LOGGER.error("event=task_failed", exception);
        }
    }
}
