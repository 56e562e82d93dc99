package org.radishpass.load.internal.drive;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.radishpass.core.cache.PromptBlocks;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.load.internal.experiment.Workload;
import org.radishpass.runtime.http.HttpJson;

/**
 * Generates all requests of an experiment before load begins. The schedule depends only on the experiment and its seed,
 * not on how the fleet responds.
 *
 * @since 0.1.0
 */
public final class Schedule {
    private static final double NANOS_PER_SECOND = 1_000_000_000;
    private static final int MAX_CHAT_TURNS = 6;
    private static final int VOCABULARY_SIZE = 50_000;

    private final Set<Long> seenBlocks = new HashSet<>();
    private final Map<String, Chat> chats = new HashMap<>();
    private final Random random;

    private Schedule(long seed) {
        this.random = new Random(seed);
    }

    /**
     * Returns an experiment's requests, ordered by the time at which they are due.
     *
     * @param experiment the experiment
     */
    public static List<Arrival> of(Experiment experiment) {
        Schedule schedule = new Schedule(experiment.seed());
        double end = experiment.warmupSeconds() + (double) experiment.seconds();
        List<TimedWorkload> timedWorkloads = new ArrayList<>();
        for (Workload workload : experiment.workloads()) {
            double at = 0;
            while (at < end) {
                at += schedule.exponentialInterval(workload.rateAt(at));
                if (at < end) {
                    timedWorkloads.add(new TimedWorkload(at, workload));
                }
            }
        }
        timedWorkloads.sort(Comparator.comparingDouble(TimedWorkload::atSeconds));
        List<Arrival> arrivals = new ArrayList<>();
        for (TimedWorkload timedWorkload : timedWorkloads) {
            arrivals.add(schedule.createArrival(arrivals.size(), timedWorkload, experiment.seed()));
        }
        return arrivals;
    }

    private Arrival createArrival(int index, TimedWorkload timedWorkload, long seed) {
        long atNanos = (long) (timedWorkload.atSeconds() * NANOS_PER_SECOND);
        Workload workload = timedWorkload.workload();
        if (workload.placesOrders()) {
            String number = "order-" + seed + '-' + index;
            String body = toJson(Map.of("number", number, "item", "item-" + random.nextInt(100)));
            return new Arrival(index, atNanos, workload, body, number, 0, 0);
        }
        return createChatArrival(index, atNanos, workload);
    }

    private Arrival createChatArrival(int index, long atNanos, Workload workload) {
        int slot = random.nextInt(Math.max(1, workload.chats()));
        String key = workload.workspace() + '/' + slot;
        Chat chat = chats.get(key);
        if (chat == null || chat.turns >= MAX_CHAT_TURNS) {
            int generation = chat == null ? 0 : chat.generation + 1;
            chat = new Chat(key + '/' + generation, generation);
            chat.add("system", systemPrompt(workload));
            chats.put(key, chat);
        }
        String nonce = "n" + index;
        chat.add("user", nonce + ' ' + randomWords(random, workload.turnTokens()));
        chat.turns++;
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("model", String.valueOf(workload.model()));
        body.put("stream", workload.streamsAnswers());
        body.put("max_tokens", workload.answerTokens());
        body.put("messages", List.copyOf(chat.messages));
        Arrival arrival = createPromptArrival(index, atNanos, workload, chat, toJson(body));
        chat.add("assistant", expectedAnswer(nonce, workload.answerTokens()));
        return arrival;
    }

    private Arrival createPromptArrival(int index, long atNanos, Workload workload, Chat chat, String body) {
        StringBuilder text = new StringBuilder();
        chat.messages.forEach(message -> text.append(message.get("content")).append(' '));
        List<Long> blocks = PromptBlocks.prefixHashes(text.toString());
        int reusable = 0;
        for (Long block : blocks) {
            if (!seenBlocks.contains(block)) {
                break;
            }
            reusable++;
        }
        seenBlocks.addAll(blocks);
        int tokens = (int) text.chars().filter(c -> c == ' ').count();
        return new Arrival(index, atNanos, workload, body, chat.id, tokens, reusable * PromptBlocks.BLOCK_TOKENS);
    }

    private static String systemPrompt(Workload workload) {
        Random workspaceRandom = new Random(workload.workspace().hashCode());
        return "system " + randomWords(workspaceRandom, workload.prefixTokens());
    }

    private static String randomWords(Random source, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append('w').append(source.nextInt(VOCABULARY_SIZE)).append(i + 1 < count ? " " : "");
        }
        return text.toString();
    }

    private static String expectedAnswer(String nonce, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(nonce).append('-').append(i).append(i + 1 < tokens ? " " : "");
        }
        return text.toString();
    }

    private double exponentialInterval(double rate) {
        return -Math.log(1 - random.nextDouble()) / Math.max(rate, 1e-6);
    }

    private static String toJson(Object value) {
        return new String(HttpJson.serialize(value), java.nio.charset.StandardCharsets.UTF_8);
    }

    private record TimedWorkload(double atSeconds, Workload workload) {}

    private static final class Chat {
        private final List<Map<String, String>> messages = new ArrayList<>();
        private final String id;
        private final int generation;
        private int turns;

        private Chat(String id, int generation) {
            this.id = id;
            this.generation = generation;
        }

        private void add(String role, String content) {
            messages.add(Map.of("role", role, "content", content));
        }
    }
}
