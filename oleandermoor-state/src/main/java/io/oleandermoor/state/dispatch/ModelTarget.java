package io.oleandermoor.state.dispatch;

/**
 * What an instance must hold to run a request.
 *
 * @param model the model
 * @param adapter the adapter of the model, or empty for the model itself
 */
public record ModelTarget(String model, String adapter) {

    /** Returns the target that a text names: a model, or a model and an adapter separated by a slash. */
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
