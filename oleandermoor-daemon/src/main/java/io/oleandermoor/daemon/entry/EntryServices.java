package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.ledger.CrashRegistry;
import io.oleandermoor.state.routing.Router;
import io.oleandermoor.transport.metrics.ProcessMetrics;
import io.oleandermoor.transport.peer.PeerConnection;
import io.oleandermoor.transport.worker.Timers;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What the requests of an entry share.
 *
 * @param instance this instance
 * @param router chooses upstreams
 * @param agents finds the connection to the agent of an upstream
 * @param tokens limits tokens
 * @param once records of non-repeatable calls
 * @param crashes fingerprints that crash upstreams
 * @param crashReports sends the reports of recent crashes to an agent
 * @param retries the retry budget
 * @param demand counts the demand for models
 * @param metrics the metrics of the process
 * @param timers timers
 * @param random the source of random choices; safe for use by several threads
 * @param nowMillis the monotonic clock in milliseconds
 */
record EntryServices(
        InstanceId instance,
        Router router,
        AgentDirectory agents,
        TokenService tokens,
        OnceService once,
        CrashRegistry crashes,
        Consumer<PeerConnection> crashReports,
        SharedRetryBudget retries,
        DemandMeter demand,
        ProcessMetrics metrics,
        Timers timers,
        UniformRandomProvider random,
        LongSupplier nowMillis) {}
