package io.oleandermoor.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends the requests of a plan and checks the answers. An instance runs one plan once. */
public final class LoadGenerator {

    private static final MediaType JSON = MediaType.get("application/json");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Longest silence of a stream before it counts as an error. */
    private static final Duration SILENCE = Duration.ofSeconds(30);

    private static final int WORDS = 1_000;

    private final LoadPlan plan;

    private final LoadReport entryReport = new LoadReport();

    private final LoadReport directReport = new LoadReport();

    private final SplittableRandom random;

    private final Semaphore open;

    private final OkHttpClient client;

    /**
     * Creates a generator without sending anything.
     *
     * @param plan what to send
     */
    public LoadGenerator(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.arrivals().seed());
        int inFlight = plan.arrivals().inFlight();
        this.open = new Semaphore(inFlight);
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(inFlight);
        dispatcher.setMaxRequestsPerHost(inFlight);
        // A retry of the client would hide a connection that was cut and could send a request twice.
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(inFlight, 1, TimeUnit.MINUTES))
                .retryOnConnectionFailure(false)
                .readTimeout(SILENCE)
                .build();
    }

    /**
     * Sends all requests and waits for the answers.
     *
     * @return the reports
     * @throws InterruptedException if the thread is interrupted while it waits; answers are then given up
     */
    public LoadResult run() throws InterruptedException {
        long start = System.nanoTime();
        long end = start + plan.arrivals().time().toNanos();
        long next = start;
        try {
            for (int index = 0; index < plan.arrivals().requests(); index++) {
                next += (long) (-Math.log(1 - random.nextDouble())
                        / plan.arrivals().perSecond()
                        * TimeUnit.SECONDS.toNanos(1));
                if (next - end >= 0) {
                    break;
                }
                waitUntil(next);
                send(index);
            }
            open.acquire(plan.arrivals().inFlight());
        } finally {
            client.dispatcher().cancelAll();
            client.dispatcher().executorService().shutdown();
            client.connectionPool().evictAll();
        }
        long elapsed = System.nanoTime() - start;
        entryReport.ended(elapsed);
        directReport.ended(elapsed);
        return new LoadResult(entryReport, directReport);
    }

    private static void waitUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            if (Thread.interrupted()) {
                throw new InterruptedException("interrupted while sending load");
            }
            left = nanos - System.nanoTime();
        }
    }

    private void send(int index) {
        boolean direct = plan.direct().isPresent() && (plan.entries().isEmpty() || index % 2 == 1);
        LoadReport report = direct ? directReport : entryReport;
        Address address = direct
                ? plan.direct().get()
                : plan.entries()
                        .get((plan.direct().isPresent() ? index / 2 : index)
                                % plan.entries().size());
        String prompt = prompt(index);
        // Drawn before the request is refused or sent, so that each request is the same in every run of the seed.
        Request request = request(address, prompt);
        if (!open.tryAcquire()) {
            report.notSent();
            return;
        }
        report.sent();
        AnswerCheck check = new AnswerCheck(report, prompt, plan.mix().tokens(), System.nanoTime());
        client.newCall(request).enqueue(new Answer(check));
    }

    private Request request(Address address, String prompt) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", plan.models().get(random.nextInt(plan.models().size())));
        body.put("max_tokens", plan.mix().tokens());
        body.put("stream", random.nextDouble() < plan.mix().streams());
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        String key = plan.teamKeys().get(random.nextInt(plan.teamKeys().size()));
        String requestClass = random.nextDouble() < plan.mix().batch() ? "batch" : "live";
        Request.Builder request = new Request.Builder()
                .url("http://" + address + "/v1/chat/completions")
                .post(RequestBody.create(body.toString(), JSON));
        boolean direct = plan.direct().filter(address::equals).isPresent();
        return direct
                ? request.build()
                : request.header("Authorization", "Bearer " + key)
                        .header("X-Request-Class", requestClass)
                        .build();
    }

    private String prompt(int index) {
        StringBuilder prompt = new StringBuilder("request ").append(index);
        for (int word = 0; word < plan.mix().promptWords(); word++) {
            prompt.append(" w").append(random.nextInt(WORDS));
        }
        return prompt.toString();
    }

    private final class Answer implements Callback {

        private final AnswerCheck check;

        Answer(AnswerCheck check) {
            this.check = check;
        }

        @Override
        public void onFailure(Call call, IOException exception) {
            check.endEarly(exception.getClass().getSimpleName());
            open.release();
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                check.read(response);
            } catch (IOException exception) {
                check.endEarly(exception.getClass().getSimpleName());
            } finally {
                open.release();
            }
        }
    }
}
