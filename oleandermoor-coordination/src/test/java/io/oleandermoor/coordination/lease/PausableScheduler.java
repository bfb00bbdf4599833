package io.oleandermoor.coordination.lease;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Stops running tasks while the process that it stands for is paused. */
final class PausableScheduler extends Scheduler {

    private final Scheduler delegate;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean paused;

    PausableScheduler(Scheduler delegate) {
        this.delegate = delegate;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        for (Runnable task = waiting.poll(); task != null; task = waiting.poll()) {
            task.run();
        }
    }

    @Override
    public long now(TimeUnit unit) {
        return delegate.now(unit);
    }

    @Override
    public Worker createWorker() {
        Worker worker = delegate.createWorker();
        return new Worker() {
            @Override
            public Disposable schedule(Runnable run, long delay, TimeUnit unit) {
                return worker.schedule(
                        () -> {
                            if (paused) {
                                waiting.add(run);
                            } else {
                                run.run();
                            }
                        },
                        delay,
                        unit);
            }

            @Override
            public long now(TimeUnit unit) {
                return delegate.now(unit);
            }

            @Override
            public void dispose() {
                worker.dispose();
            }

            @Override
            public boolean isDisposed() {
                return worker.isDisposed();
            }
        };
    }
}
