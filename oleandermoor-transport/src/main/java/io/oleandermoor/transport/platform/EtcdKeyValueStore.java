package io.oleandermoor.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.LeaseId;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WatchEvent;
import io.oleandermoor.coordination.store.WriteResult;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** The key-value service over the JSON form of the etcd version 3 API. Safe for use by several threads. */
public final class EtcdKeyValueStore implements KeyValueStore {

    private static final MediaType JSON = MediaType.get("application/json");

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private static final int OK = 200;

    private final OkHttpClient client;

    private final OkHttpClient watchClient;

    private final String base;

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     * @param address the service's address as {@code ip:port}
     */
    public EtcdKeyValueStore(OkHttpClient client, String address) {
        this.client = client.newBuilder().callTimeout(CALL_TIMEOUT).build();
        this.watchClient = client.newBuilder().readTimeout(Duration.ZERO).build();
        this.base = "http://" + address + "/v3/";
    }

    @Override
    public Single<Optional<VersionedValue>> get(String key) {
        return post("kv/range", EtcdCodec.rangeOfKey(key))
                .map(response -> EtcdCodec.readValues(response).stream().findFirst());
    }

    @Override
    public Single<List<VersionedValue>> list(String prefix) {
        return post("kv/range", EtcdCodec.rangeOfPrefix(prefix)).map(EtcdCodec::readValues);
    }

    @Override
    public Single<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        if (value.length > MAXIMUM_VALUE_BYTES) {
            return Single.error(new StoreException(
                    "value of '" + key + "' has " + value.length + " bytes, more than " + MAXIMUM_VALUE_BYTES));
        }
        return post("kv/txn", EtcdCodec.put(key, expectedRevision, value, lease))
                .map(EtcdKeyValueStore::readWrite);
    }

    @Override
    public Single<WriteResult> compareAndDelete(String key, long expectedRevision) {
        return post("kv/txn", EtcdCodec.delete(key, expectedRevision)).map(EtcdKeyValueStore::readWrite);
    }

    @Override
    public Single<LeaseId> grantLease(Duration timeToLive) {
        ObjectNode request = EtcdCodec.MAPPER.createObjectNode();
        request.put("TTL", Long.toString(Math.max(1, timeToLive.toSeconds())));
        return post("lease/grant", request).map(response -> new LeaseId(EtcdCodec.readNumber(response, "ID")));
    }

    @Override
    public Single<Boolean> renewLease(LeaseId lease) {
        return post("lease/keepalive", leaseRequest(lease))
                .map(response -> EtcdCodec.readNumber(response.path("result"), "TTL") > 0);
    }

    @Override
    public Completable revokeLease(LeaseId lease) {
        return post("lease/revoke", leaseRequest(lease)).ignoreElement();
    }

    @Override
    public Flowable<WatchEvent> watch(String prefix, long fromRevision) {
        return Flowable.create(
                emitter -> {
                    Call call = watchClient.newCall(request("watch", EtcdCodec.watch(prefix, fromRevision)));
                    emitter.setCancellable(call::cancel);
                    call.enqueue(new WatchCallback(emitter));
                },
                BackpressureStrategy.BUFFER);
    }

    private static WriteResult readWrite(JsonNode response) throws StoreException {
        return new WriteResult(response.path("succeeded").asBoolean(), EtcdCodec.readRevision(response));
    }

    private static ObjectNode leaseRequest(LeaseId lease) {
        return EtcdCodec.MAPPER.createObjectNode().put("ID", Long.toString(lease.value()));
    }

    private Single<JsonNode> post(String path, ObjectNode body) {
        return Single.create(emitter -> {
            Call call = client.newCall(request(path, body));
            emitter.setCancellable(call::cancel);
            call.enqueue(new CallCallback(path, emitter));
        });
    }

    private Request request(String path, ObjectNode body) {
        return new Request.Builder()
                .url(base + path)
                .post(RequestBody.create(body.toString(), JSON))
                .build();
    }

    private record CallCallback(String path, SingleEmitter<JsonNode> emitter) implements Callback {

        @Override
        public void onFailure(Call call, IOException exception) {
            emitter.tryOnError(new StoreException("no answer to " + path + ": " + exception.getMessage(), exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                if (response.code() != OK) {
                    emitter.tryOnError(new StoreException(path + " was answered with status " + response.code()));
                    return;
                }
                emitter.onSuccess(EtcdCodec.MAPPER.readTree(response.body().bytes()));
            } catch (IOException exception) {
                onFailure(call, exception);
            }
        }
    }

    private record WatchCallback(FlowableEmitter<WatchEvent> emitter) implements Callback {

        @Override
        public void onFailure(Call call, IOException exception) {
            emitter.tryOnError(new StoreException("watch ended: " + exception.getMessage(), exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                BufferedSource source = response.body().source();
                while (!emitter.isCancelled()) {
                    String line = source.readUtf8Line();
                    if (line == null) {
                        emitter.tryOnError(new StoreException("watch ended"));
                        return;
                    }
                    EtcdCodec.readEvents(EtcdCodec.MAPPER.readTree(line)).forEach(emitter::onNext);
                }
            } catch (StoreException exception) {
                emitter.tryOnError(exception);
            } catch (IOException exception) {
                onFailure(call, exception);
            }
        }
    }
}
