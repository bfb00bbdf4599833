package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.lease.LeaseKeeper;
import io.oleandermoor.coordination.lease.Ownership;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.daemon.network.ItemExchange;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.rate.RateGroups;
import io.oleandermoor.daemon.rate.RateOwnerRole;
import io.oleandermoor.daemon.rate.TokenLedger;
import io.oleandermoor.protocol.mapping.RateMessages;
import io.oleandermoor.protocol.message.RateGrant;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateDecision;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateSettings;
import io.oleandermoor.transport.log.LogEvent;
import io.oleandermoor.transport.peer.PeerConnection;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Connects the rate cores of this entry: its tokens, its registration, and the groups that it owns. */
final class RateShell implements TokenService, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(RateShell.class);

    private static final String OWNER_PREFIX = "owner/rate/";

    private static final String REGISTRATION_PREFIX = "entry/";

    private static final long REGISTRATION_READ_MILLIS = 2_000;

    private final RateClientId self;

    private final KeyValueStore store;

    private final ItemExchange items;

    private final PeerNetwork network;

    private final LongSupplier nowMillis;

    private final RateSettings settings;

    private final long startedMillis;

    private final TokenLedger ledger;

    private final List<RateOwnerRole> roles = new ArrayList<>();

    private final Map<Integer, KnownOwner> owners = new ConcurrentHashMap<>();

    private final CompositeDisposable timers = new CompositeDisposable();

    private volatile boolean registered;

    RateShell(
            RateClientId self,
            RateSettings settings,
            KeyValueStore store,
            ItemExchange items,
            PeerNetwork network,
            Supplier<Configuration> configuration,
            LongSupplier nowMillis) {
        this.self = self;
        this.store = store;
        this.items = items;
        this.network = network;
        this.nowMillis = nowMillis;
        this.settings = settings;
        this.startedMillis = nowMillis.getAsLong();
        this.ledger = new TokenLedger(settings, self, this::sendToOwner, nowMillis);
        for (int group = 0; group < RateGroups.COUNT; group++) {
            int number = group;
            roles.add(new RateOwnerRole(
                    group, settings, configuration, nowMillis, ownership -> announce(number, ownership)));
        }
    }

    /** Adds the groups to the names that this process may own. */
    void register(LeaseKeeper keeper) {
        for (int group = 0; group < RateGroups.COUNT; group++) {
            keeper.register(RateGroups.ownerName(group), roles.get(group));
        }
    }

    void start() {
        items.listen(
                OWNER_PREFIX,
                (name, version, content) -> learn(
                        Integer.parseInt(name.substring(OWNER_PREFIX.length())),
                        version,
                        new String(content, StandardCharsets.UTF_8)));
        timers.add(Observable.interval(TokenLedger.TICK_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> ledger.tick(), failure -> LOGGER.error("event=rate_tick_failed", failure)));
        timers.add(Observable.interval(0, REGISTRATION_READ_MILLIS, TimeUnit.MILLISECONDS, Schedulers.io())
                .subscribe(tick -> maintainRegistration()));
    }

    void configurationChanged(Configuration configuration) {
        ledger.configure(configuration);
        roles.forEach(RateOwnerRole::configurationChanged);
    }

    @Override
    public void reserve(TeamName team, long tokens, Consumer<TokenDecision> answer) {
        ledger.reserve(team, tokens, decision -> answer.accept(convert(decision)));
    }

    /** Answers a request of another entry. */
    void received(PeerConnection connection, io.oleandermoor.protocol.message.RateRequest message) {
        RateClientId client = new RateClientId(
                new InstanceId(connection.remote().instance()),
                connection.remote().incarnation());
        int group = message.getGroup();
        if (group < roles.size()) {
            roles.get(group)
                    .handle(RateMessages.fromMessage(client, message))
                    .ifPresent(response -> connection.send(RateMessages.response(group, response)));
        }
    }

    void received(RateGrant message) {
        ledger.accept(message.getGroup(), RateMessages.fromMessage(message));
    }

    @Override
    public void close() {
        timers.dispose();
    }

    private TokenDecision convert(RateDecision decision) {
        if (decision instanceof RateDecision.Granted granted) {
            return new TokenDecision.Granted(used -> ledger.settle(granted.reservation(), used));
        }
        if (decision instanceof RateDecision.TooLarge tooLarge) {
            return new TokenDecision.TooLarge(tooLarge.limitTokens());
        }
        return new TokenDecision.OverRate(
                decision instanceof RateDecision.Refused refused ? refused.retryAfterMillis() : 0);
    }

    private boolean sendToOwner(int group, RateRequest request) {
        RateOwnerRole local = roles.get(group);
        // After its lease has lapsed, this process answers as a pool until another owner is announced.
        if (local.isOwner()
                || ownerOf(group).filter(self.instance().value()::equals).isPresent()) {
            local.handle(request)
                    .ifPresent(response -> Schedulers.io().scheduleDirect(() -> ledger.accept(group, response)));
            return true;
        }
        return ownerOf(group)
                .flatMap(network::connection)
                .map(connection -> connection.send(RateMessages.request(group, request)))
                .orElse(false);
    }

    private Optional<String> ownerOf(int group) {
        return Optional.ofNullable(owners.get(group)).map(KnownOwner::instance);
    }

    private void learn(int group, long fencing, String instance) {
        owners.merge(
                group,
                new KnownOwner(fencing, instance),
                (known, learned) -> learned.fencing() > known.fencing() ? learned : known);
    }

    private void announce(int group, Ownership ownership) {
        learn(group, ownership.fencing().value(), self.instance().value());
        items.publish(
                OWNER_PREFIX + group,
                ownership.fencing().value(),
                self.instance().value().getBytes(StandardCharsets.UTF_8));
    }

    /** Registers this process and, while it owns a group, reads who else is registered. */
    private void maintainRegistration() {
        if (!registered && nowMillis.getAsLong() - startedMillis >= settings.registrationDelayMillis()) {
            register();
        }
        if (roles.stream().anyMatch(RateOwnerRole::isOwner)) {
            long sentMillis = nowMillis.getAsLong();
            var unused = store.list(REGISTRATION_PREFIX)
                    .map(RateShell::parse)
                    .subscribe(
                            clients -> roles.forEach(role -> role.registrations(clients, sentMillis)),
                            failure -> LogEvent.of("registrations_not_read")
                                    .with("reason", failure.getMessage())
                                    .warn(LOGGER));
        }
    }

    private void register() {
        String key = REGISTRATION_PREFIX + self.instance();
        byte[] value = (self.instance() + "\n" + self.incarnation()).getBytes(StandardCharsets.UTF_8);
        var unused = store.get(key)
                .flatMap(current -> store.compareAndSet(
                        key,
                        current.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT),
                        value,
                        Optional.empty()))
                .subscribe(
                        result -> {
                            if (result.applied()) {
                                registered = true;
                                ledger.registered(nowMillis.getAsLong());
                            }
                        },
                        failure -> LogEvent.of("registration_not_written")
                                .with("reason", failure.getMessage())
                                .warn(LOGGER));
    }

    private static Set<RateClientId> parse(List<VersionedValue> values) {
        Set<RateClientId> clients = new HashSet<>();
        for (VersionedValue value : values) {
            String[] lines = value.text().split("\n", -1);
            clients.add(new RateClientId(new InstanceId(lines[0]), Long.parseLong(lines[1])));
        }
        return clients;
    }

    private record KnownOwner(long fencing, String instance) {}
}
