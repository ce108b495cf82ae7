package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.facade.AttemptEnd;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What is logged of a late response. */
class RequestTimelineTest {
    private static final long START_US = 5_000_000;
    private static final long MS = 1_000;

    private long clientWaitUs = 40 * MS;

    private RequestTimeline timeline(long acceptedUs) throws IOException {
        RequestTimeline timeline = new RequestTimeline(START_US, acceptedUs, () -> clientWaitUs);
        Head head = Head.parseRequest(("POST /pay/x?y HTTP/1.1\r\nX-Call-Id: a1\r\nX-Budget-Ms: 700\r\n"
                + "Content-Length: 9").getBytes(StandardCharsets.ISO_8859_1));
        Body body = new MessageReader(new ByteArrayInputStream(new byte[0])).requestBody(head);
        timeline.headRead(head, body, acceptedUs);
        return timeline;
    }

    @Test
    void aResponseIsLateOnceItsBudgetAfterTheFirstByteHasPassed() throws IOException {
        RequestTimeline timeline = timeline(START_US);
        assertThat(timeline.isLateAt(START_US + 700 * MS)).isFalse();
        assertThat(timeline.isLateAt(START_US + 700 * MS + 1)).isTrue();
        assertThat(new RequestTimeline(START_US, START_US, () -> 0).isLateAt(Long.MAX_VALUE)).isFalse();
    }

    @Test
    void theLineTellsWhatWasReadWhenAndWhoWasWaitedFor() throws IOException {
        RequestTimeline timeline = timeline(START_US + 1_900 * MS);
        clientWaitUs += 20 * MS;
        timeline.lastByteRead(START_US + 1_920 * MS);
        timeline.timeBegan(START_US + 1_920 * MS);
        timeline.attemptEnded(new Attempt.Times(START_US + 1_920 * MS, START_US + 1_921 * MS, START_US + 1_921 * MS,
                START_US + 1_971 * MS), "s1", AttemptEnd.SERVED);
        assertThat(timeline.describe(200, START_US + 1_971 * MS)).isEqualTo("request a1 of class pay, body length 9, "
                + "status 200 after 1971 ms of 700, cause place; ms after its first byte: accepted 1900, head 1900, "
                + "last byte 1920, time began 1920; waited for place 1900, client 20, connection 1, server 50, "
                + "pause 0, process 0; memory ample; attempts [s1 1920 begun 1921 written 1921 ended 1971 SERVED]");
    }

    @Test
    void theCauseIsWhatTookLongest() throws IOException {
        RequestTimeline timeline = timeline(START_US);
        clientWaitUs += 900 * MS;
        timeline.add(RequestTimeline.Wait.PAUSE, 50 * MS);
        assertThat(timeline.cause(START_US + 1_000 * MS)).isEqualTo(RequestTimeline.Wait.CLIENT);
        assertThat(timeline.cause(START_US + 2_000 * MS)).isEqualTo(RequestTimeline.Wait.PROCESS);
    }
}
