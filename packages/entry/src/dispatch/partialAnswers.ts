import type * as upstreams from "@boragedale/upstreams";

/** Limit on the characters of all answers together. They take about as many bytes. */
const MaximumCharacters = 16_000_000;

/**
 * Stores the text of batch answers that gave way to online work until they resume. A lost answer only has to be
 * generated again, so the oldest are dropped when the limit is reached.
 */
export class PartialAnswers {
    private readonly answers = new Map<string, upstreams.ResumePoint>();
    private characters = 0;

    save(request: string, answer: upstreams.ResumePoint): void {
        this.take(request);
        this.answers.set(request, answer);
        this.characters += answer.text.length;
        for (const oldest of this.answers.keys()) {
            if (this.characters <= MaximumCharacters) {
                break;
            }
            this.take(oldest);
        }
    }

    /** Removes and returns the answer. The caller saves it again if the request gives way once more. */
    take(request: string): upstreams.ResumePoint | undefined {
        const answer = this.answers.get(request);
        if (answer !== undefined) {
            this.answers.delete(request);
            this.characters -= answer.text.length;
        }
        return answer;
    }
}
