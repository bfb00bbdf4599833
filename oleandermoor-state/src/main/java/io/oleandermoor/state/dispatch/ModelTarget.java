package io.oleandermoor.state.dispatch;

/**
 * The model or adapter that an instance must hold to run a request.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter, or empty for the model itself
 */
public record ModelTarget(String model, String adapter) {

    /** Parses a target: a model name, or a model name and an adapter name separated by a slash. */
    public static ModelTarget parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new ModelTarget(text, "")
                : new ModelTarget(text.substring(0, slash), text.substring(slash + 1));
    }

    /** Returns whether the target is an adapter. */
    public boolean isAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
