package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PiecePacerTest {
    private static final int FULL = BodyBuffers.PIECE_BYTES;
    private static final int SMALL = 1_000;
    private static final int LONGEST_PAUSE_MS = 70;

    private final PiecePacer pacer = new PiecePacer(FULL, Body.Framing.LENGTH);
    private Body body;

    @BeforeEach
    void longBody() throws IOException {
        body = new MessageReader(new ByteArrayInputStream(new byte[0]), MessageReader.MAX_BODY_BYTES)
                .requestBody(Head.parseRequest("POST /x HTTP/1.1\r\nContent-Length: 9000000"
                        .getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void onlyASmallPieceIsFollowedByAPause() {
        assertThat(pacer.pauseMs(FULL, body, 0)).isZero();
        assertThat(pacer.pauseMs(SMALL, body, 0)).isEqualTo(LONGEST_PAUSE_MS);
    }

    /** Guards against the failure in which a fast sender was held up at one socket buffer for each longest pause. */
    @Test
    void thePauseShrinksForAFastSenderAndGrowsAgainForASlowOne() {
        long pauseMs = 0;
        for (int i = 0; i < 10; i++) {
            pauseMs = pacer.pauseMs(SMALL, body, 0);
            pacer.pauseMs(FULL, body, 0);
        }
        assertThat(pauseMs).isBetween(1L, 5L);
        for (int i = 0; i < 10; i++) {
            pauseMs = pacer.pauseMs(SMALL, body, 0);
        }
        assertThat(pauseMs).isEqualTo(LONGEST_PAUSE_MS);
    }

    @Test
    void thePauseInFavourOfOthersIsKeptPerByte() {
        assertThat(pacer.pauseMs(FULL, body, 600)).isEqualTo(600);
        assertThat(new PiecePacer(FULL / 8, Body.Framing.LENGTH).pauseMs(FULL / 8, body, 600)).isEqualTo(75);
    }
}
