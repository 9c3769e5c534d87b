import { describe, expect, it } from 'vitest';
import { ManualClock } from './Clock.js';
import { LoopDelay } from './LoopDelay.js';

function createDelay(): { clock: ManualClock; delay: LoopDelay } {
  const clock = new ManualClock(1_000);
  const delay = new LoopDelay(clock);
  delay.start();
  delay.dispose();
  return { clock, delay };
}

describe('LoopDelay', () => {
  it('is zero for a process that runs', () => {
    const { clock, delay } = createDelay();
    clock.advance(25);
    expect(delay.getDelayMs(clock.now())).toBe(0);
    delay.tick(clock.now());
    clock.advance(60);
    expect(delay.getDelayMs(clock.now())).toBe(0);
  });

  it('shows in what is read before the timers run', () => {
    const { clock, delay } = createDelay();
    clock.advance(1_320);
    expect(delay.getDelayMs(clock.now())).toBe(1_300);
  });

  it('shows in what is read after the timers have run, and ends then', () => {
    const { clock, delay } = createDelay();
    clock.advance(420);
    delay.tick(clock.now());
    clock.advance(5);
    expect(delay.getDelayMs(clock.now())).toBe(400);
    clock.advance(20);
    delay.tick(clock.now());
    expect(delay.getDelayMs(clock.now())).toBe(0);
  });

  it('is zero before it was started', () => {
    expect(new LoopDelay(new ManualClock()).getDelayMs(5_000)).toBe(0);
  });
});
