package io.oleandermoor.daemon.entry;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;

/** A source of random numbers that each thread has for itself. Safe for use by several threads. */
final class ThreadLocalRandomProvider implements UniformRandomProvider {

    @Override
    public long nextLong() {
        return ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP).nextLong();
    }
}
