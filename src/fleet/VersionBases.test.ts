/** Guards against a base version that changes while streams of the former one may still be taken up again. */
import { describe, expect, it } from 'vitest';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { buildTarget } from './Fixtures.js';
import { VersionBases } from './VersionBases.js';

const DELAY_MS = 30_000;
const SERVICES = new Set(['lace']);

function buildTargets(...versions: readonly string[]): readonly TargetRecord[] {
  return versions.map((softwareVersion, i) =>
    buildTarget({ id: `i-${i}`, address: `10.1.0.${i}:8000`, softwareVersion }),
  );
}

/** A hub that observes targets at intervals, and a state that accepts what it decides. */
class Service {
  public readonly bases = new Map<string, string>();
  public readonly recorded = new Set<string>();
  public versions: VersionBases;
  private readonly _state = {
    versionBases: this.bases,
    streams: {
      hasOtherVersion: (_service: string, version: string): boolean =>
        [...this.recorded].some((recorded) => recorded !== version),
    },
  };

  constructor(
    base: string | undefined,
    public now = 0,
  ) {
    if (base !== undefined) {
      this.bases.set('lace', base);
    }
    this.versions = new VersionBases(now);
  }

  public get base(): string | undefined {
    return this.bases.get('lace');
  }

  public get report(): { base: string; isUniform: boolean } | undefined {
    return this.versions.reports.find(({ service }) => service === 'lace');
  }

  public replaceHub(): void {
    this.versions = new VersionBases(this.now);
  }

  public observe(targets: readonly TargetRecord[]): void {
    this.versions.observe(targets, this._state, this.now);
    for (const { service, version } of this.versions.decideChanges(SERVICES, DELAY_MS, this.now)) {
      this.bases.set(service, version);
    }
    this.versions.observe(targets, this._state, this.now);
  }

  /** Observes the same targets for a time. */
  public run(targets: readonly TargetRecord[], ms: number): void {
    for (const end = this.now + ms; this.now < end; this.now += 500) {
      this.observe(targets);
    }
    this.observe(targets);
  }
}

describe('VersionBases', () => {
  describe('first base', () => {
    it('is the only version, once a new hub can know all targets', () => {
      const service = new Service(undefined);
      service.run(buildTargets('v1', 'v1'), 1_500);
      expect(service.base).toBeUndefined();
      expect(service.report).toEqual({ service: 'lace', base: '', isUniform: false });
      service.run(buildTargets('v1', 'v1'), 1_000);
      expect(service.base).toBe('v1');
      expect(service.report).toEqual({ service: 'lace', base: 'v1', isUniform: true });
    });

    // Of streams that began before, nobody knows to which of the versions they belong.
    it('is no version while several are known, and the one of most targets after the delay', () => {
      const service = new Service(undefined);
      service.run(buildTargets('v1', 'v2', 'v2'), 2_500);
      expect(service.base).toBe('');
      expect(service.report).toEqual({ service: 'lace', base: '', isUniform: false });
      service.run(buildTargets('v1', 'v2', 'v2'), DELAY_MS - 1_000);
      expect(service.base).toBe('');
      service.run(buildTargets('v1', 'v2', 'v2'), 2_000);
      expect(service.base).toBe('v2');
    });

    it('is never the version of a target that names none', () => {
      const service = new Service(undefined);
      service.run(buildTargets(''), 2 * DELAY_MS);
      expect(service.base).toBe('');
      service.run(buildTargets('', '', 'v1'), DELAY_MS);
      expect(service.base).toBe('v1');
    });

    // Such a process records nothing, so its streams of other versions would count as streams of the base.
    it('is not chosen while a process of an older build takes requests', () => {
      const service = new Service(undefined);
      for (let i = 0; i < 20; i += 1) {
        service.versions.markOldEntry(service.now);
        service.run(buildTargets('v1'), 1_000);
      }
      expect(service.base).toBeUndefined();
      service.run(buildTargets('v1'), DELAY_MS + 1_000);
      expect(service.base).toBe('v1');
    });

    it('is not chosen for a service that the configuration does not name', () => {
      const versions = new VersionBases(0);
      const state = { versionBases: new Map(), streams: { hasOtherVersion: () => false } };
      versions.observe(buildTargets('v1'), state, 5_000);
      expect(versions.decideChanges(new Set(['other']), DELAY_MS, 5_000)).toEqual([]);
    });
  });

  describe('change of the base', () => {
    it('waits until no target of the former one was known for the whole delay', () => {
      const service = new Service('v1');
      service.run(buildTargets('v1', 'v2', 'v2'), 2 * DELAY_MS);
      expect(service.base).toBe('v1');
      service.run(buildTargets('v2', 'v2'), DELAY_MS - 500);
      expect(service.base).toBe('v1');
      service.run(buildTargets('v2', 'v2'), 1_000);
      expect(service.base).toBe('v2');
    });

    it('counts targets that drain as known, and those that are gone not', () => {
      const service = new Service('v1');
      const leaving = (phase: TargetPhase): TargetRecord[] => [
        buildTarget({ softwareVersion: 'v1', phase }),
        buildTarget({ id: 'i-2', address: '10.1.0.2:8000', softwareVersion: 'v2' }),
      ];
      service.run(leaving(TargetPhase.DRAINING), 2 * DELAY_MS);
      expect(service.base).toBe('v1');
      service.run(leaving(TargetPhase.GONE), DELAY_MS + 500);
      expect(service.base).toBe('v2');
    });

    it('starts anew when a target of the base comes back', () => {
      const service = new Service('v1');
      service.run(buildTargets('v2'), DELAY_MS - 1_000);
      service.observe(buildTargets('v1', 'v2'));
      service.run(buildTargets('v2'), DELAY_MS - 1_000);
      expect(service.base).toBe('v1');
    });

    // The new hub cannot know whether the former one had heard of a target in the meantime.
    it('starts anew at a new hub', () => {
      const service = new Service('v1');
      service.run(buildTargets('v2'), DELAY_MS - 1_000);
      service.replaceHub();
      service.run(buildTargets('v2'), DELAY_MS - 500);
      expect(service.base).toBe('v1');
      service.run(buildTargets('v2'), 1_000);
      expect(service.base).toBe('v2');
    });

    it('starts anew after a time in which the hub observed nothing', () => {
      const service = new Service('v1');
      service.run(buildTargets('v2'), 1_000);
      service.now += DELAY_MS;
      service.observe(buildTargets('v2'));
      expect(service.base).toBe('v1');
      service.run(buildTargets('v2'), DELAY_MS);
      expect(service.base).toBe('v2');
    });

    it('does not follow on an earlier change to a third version', () => {
      const service = new Service('v1');
      service.run(buildTargets('v2'), DELAY_MS + 500);
      expect(service.base).toBe('v2');
      service.run(buildTargets('v3'), DELAY_MS - 500);
      expect(service.base).toBe('v2');
      service.run(buildTargets('v3'), 1_000);
      expect(service.base).toBe('v3');
    });

    it('waits for a ready target of another version', () => {
      const service = new Service('v1');
      service.run([], 2 * DELAY_MS);
      service.run([buildTarget({ softwareVersion: 'v2', phase: TargetPhase.DRAINING })], 5_000);
      expect(service.base).toBe('v1');
    });
  });

  describe('reports', () => {
    // Else a process that knows the base from before could begin streams without records until the change.
    it('names no base while no target of it is known', () => {
      const service = new Service('v1');
      service.observe(buildTargets('v1'));
      expect(service.report?.base).toBe('v1');
      service.observe(buildTargets('v2'));
      expect(service.report).toEqual({ service: 'lace', base: '', isUniform: false });
      service.observe(buildTargets('v1'));
      expect(service.report).toEqual({ service: 'lace', base: 'v1', isUniform: true });
    });

    it('calls a service uniform again only after the change of the base and the end of all records', () => {
      const service = new Service('v1');
      service.observe(buildTargets('v1'));
      expect(service.report?.isUniform).toBe(true);
      service.observe(buildTargets('v1', 'v2'));
      expect(service.report?.isUniform).toBe(false);
      service.recorded.add('v2').add('v3');
      service.run(buildTargets('v2'), DELAY_MS + 500);
      expect(service.base).toBe('v2');
      expect(service.report?.isUniform).toBe(false);
      service.recorded.delete('v3');
      service.observe(buildTargets('v2'));
      expect(service.report).toEqual({ service: 'lace', base: 'v2', isUniform: true });
    });

    it('does not call a service uniform that has records but no target of another version', () => {
      const service = new Service('v1');
      service.recorded.add('v2');
      service.observe(buildTargets('v1'));
      expect(service.report?.isUniform).toBe(false);
    });

    it('has a new revision after each change only', () => {
      const service = new Service('v1');
      service.observe(buildTargets('v1'));
      const { revision } = service.versions;
      service.observe(buildTargets('v1', 'v1'));
      expect(service.versions.revision).toBe(revision);
      service.observe(buildTargets('v1', 'v2'));
      expect(service.versions.revision).toBeGreaterThan(revision);
    });
  });

  describe('first streams of another version', () => {
    // A process that was told that the service is uniform believes it for this time.
    it('wait until no process believes the service uniform', () => {
      const service = new Service('v1');
      service.observe(buildTargets('v1'));
      service.now += 500;
      service.recorded.add('v2');
      service.observe(buildTargets('v1'));
      const wait = (version: string): number =>
        service.versions.getWaitMs({ service: 'lace', version }, service.now);
      expect(wait('v2')).toBe(500);
      expect(wait('v1')).toBe(0);
      service.now += 300;
      service.observe(buildTargets('v1', 'v2'));
      expect(wait('v2')).toBe(200);
      service.now += 300;
      expect(wait('v2')).toBe(0);
    });
  });

  describe('processes of an older build', () => {
    it('leave open which version has the streams without records, if there were several', () => {
      const service = new Service('v1');
      service.observe(buildTargets('v1'));
      service.versions.markOldEntry(service.now);
      const canAttribute = (): boolean =>
        service.versions.canAttribute('lace', DELAY_MS, service.now);
      expect(canAttribute()).toBe(true);
      service.now += 500;
      service.observe(buildTargets('v1', 'v2'));
      expect(canAttribute()).toBe(false);
      service.now += 500;
      service.observe(buildTargets('v1'));
      expect(canAttribute()).toBe(false);
      service.run(buildTargets('v1'), DELAY_MS + 500);
      expect(canAttribute()).toBe(true);
    });
  });
});
