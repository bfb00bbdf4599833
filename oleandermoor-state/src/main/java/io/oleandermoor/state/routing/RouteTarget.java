package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.ServiceName;

/** The model, adapter or plain service that an upstream must have ready to serve a request. */
public sealed interface RouteTarget {

    /**
     * A loaded model.
     *
     * @param model the name of the model
     */
    record OfModel(ModelName model) implements RouteTarget {}

    /**
     * A loaded adapter together with its base model.
     *
     * @param adapter the name of the adapter
     */
    record OfAdapter(AdapterName adapter) implements RouteTarget {}

    /**
     * A replica of a plain service.
     *
     * @param service the name of the service
     */
    record OfService(ServiceName service) implements RouteTarget {}
}
