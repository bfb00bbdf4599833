package io.oleandermoor.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The prompt of a completion. A word counts as a token.
 *
 * @param model the model or adapter
 * @param text the text of all messages
 * @param words the words of the text
 * @param resumedTokens number of tokens that were generated before and are continued
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
record Prompt(String model, String text, String[] words, int resumedTokens) {

    static Prompt of(JsonNode body) {
        StringBuilder text = new StringBuilder();
        int resumed = 0;
        JsonNode messages = body.path("messages");
        for (int index = 0; index < messages.size(); index++) {
            String content = messages.get(index).path("content").asText();
            boolean last = index == messages.size() - 1;
            if (last && body.path("continue_final_message").asBoolean()) {
                resumed = content.isBlank() ? 0 : content.trim().split(" ").length;
            } else {
                text.append(content).append('\n');
            }
        }
        String whole = text.toString();
        return new Prompt(body.path("model").asText(), whole, whole.trim().split("\\s+"), resumed);
    }

    int seed() {
        return text.hashCode();
    }
}
