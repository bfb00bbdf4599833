package example;

import io.oleandermoor.operator.DeploymentBuilder;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.PrintStream;
import java.time.DayOfWeek;

/** Program of an operator that prints a small or a full configuration document, using only the public library. */
public final class ExampleDeployment {

    private static final int ADAPTERS_PER_MODEL = 4;

    private ExampleDeployment() {}

    /**
     * Prints a document.
     *
     * @param arguments {@code small} or {@code full}
     * @throws InvalidInputException if the document contradicts itself
     */
    public static void main(String[] arguments) throws InvalidInputException {
        if (arguments.length == 1 && arguments[0].equals("full")) {
            printFull(System.out);
        } else {
            printSmall(System.out);
        }
    }

    /** Prints a document with one team and one model. */
    public static void printSmall(PrintStream output) throws InvalidInputException {
        DeploymentBuilder.create()
                .team("cafe")
                .rate(2_000)
                .burst(20_000)
                .model("draft-7b")
                .version("3")
                .memoryMegabytes(15_000)
                .print(output);
    }

    /** Prints a document that uses every part of the configuration. */
    public static void printFull(PrintStream output) throws InvalidInputException {
        DeploymentBuilder deployment = DeploymentBuilder.create();
        deployment.team("cafe").rate(2_000).burst(20_000);
        deployment.team("press").rate(8_000).burst(60_000).weight(3);
        for (int model = 1; model <= 14; model++) {
            String name = "draft-" + model;
            deployment.model(name).version("3").memoryMegabytes(15_000).minimumCopies(model == 1 ? 2 : 1);
            for (int adapter = 1; adapter < ADAPTERS_PER_MODEL; adapter++) {
                deployment
                        .adapter(name + "-tone-" + adapter)
                        .of(name)
                        .version("1")
                        .memoryMegabytes(200);
            }
        }
        deployment
                .route("payments")
                .post()
                .path("/payments")
                .service("shop-app")
                .atMostOnce()
                .requireIdempotencyKey()
                .maximumBodyBytes(16_384);
        deployment
                .route("menu")
                .get()
                .path("/menu")
                .service("shop-app")
                .repeatable()
                .open();
        deployment.admission().weighted().worstServedWeight(3).refusalWeight(1).batchSharePercent(15);
        deployment
                .weightStore()
                .loadsPerThousandSeconds(1_500)
                .concurrentLoads(7)
                .adapterLoadsInFlight(55);
        deployment
                .openingHours("shops")
                .member("cafe")
                .opens("08:00")
                .closes("18:30")
                .zone("Europe/London")
                .closedOn(DayOfWeek.SUNDAY);
        deployment.print(output);
    }
}
