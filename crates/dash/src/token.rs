//! Session tokens: JSON Web Tokens (RFC 7519) signed by HMAC (RFC 7518, 3.2) or Ed25519 (RFC 8037). The app gives a
//! player one without a tune-in; the manager's own name the tune-in that they were given for.

use base64::prelude::{BASE64_STANDARD, Engine as _};
use jsonwebtoken::errors::ErrorKind;
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation, decode, decode_header, encode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// No token of ours is longer; longer ones are not looked at.
const MAX_TOKEN_BYTES: usize = 2048;

/// Why a token is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    Malformed,
    Forged,
    UnknownKey,
    NotYetValid,
    Expired,
    ForeignTitle,
    /// Spent before, by a player that went on with the next.
    Replayed,
    /// Its session was revoked.
    Revoked,
}

impl Refusal {
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::Forged => "forged",
            Refusal::UnknownKey => "unknown-key",
            Refusal::NotYetValid => "not-yet-valid",
            Refusal::Expired => "expired",
            Refusal::ForeignTitle => "foreign-title",
            Refusal::Replayed => "replayed",
            Refusal::Revoked => "revoked",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a token entitles to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenClaims {
    /// The session.
    pub session: u128,
    pub title: String,
    pub package: String,
    pub top: usize,
    pub tenant: String,
    /// What it was given for; none from the app.
    pub granted: Option<GrantedTuneIn>,
}

/// What a manager's token was given for: the manager and its start, the viewing there and the tune-in, the server that
/// it plays at, the token's turn among the viewing's tokens, and the date at which its manifests say that it began, in
/// whole seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedTuneIn {
    pub manager: String,
    pub incarnation: u64,
    pub viewing_id: u32,
    pub n: u16,
    pub server: SocketAddr,
    pub sequence: u32,
    pub began: Duration,
}

impl GrantedTuneIn {
    /// Whether both are for one tune-in, whatever their turns.
    pub fn same_tune_in(&self, other: &GrantedTuneIn) -> bool {
        let of =
            |granted: &GrantedTuneIn| (granted.incarnation, granted.viewing_id, granted.n, granted.server);
        self.manager == other.manager && of(self) == of(other)
    }
}

struct Key {
    algorithm: Algorithm,
    checks: DecodingKey,
    signs: Option<EncodingKey>,
}

/// The keys in force. Two are valid during a change of keys; one signs.
#[derive(Default)]
pub struct Keys {
    keys: BTreeMap<String, Key>,
    signs: String,
}

impl Keys {
    /// `signs`: the id of the key that signs.
    pub fn new(signs: &str) -> Self {
        Keys { keys: BTreeMap::new(), signs: signs.into() }
    }

    /// # Errors
    /// The secret is too short for HS256 (RFC 7518, 3.2: as long as the hash, 32 bytes).
    pub fn add_secret(&mut self, id: &str, secret: &str) -> Result<(), String> {
        if secret.len() < 32 {
            return Err(format!("is {} bytes long, under 32", secret.len()));
        }
        let checks = DecodingKey::from_secret(secret.as_bytes()).map_err(|e| e.to_string())?;
        let signs = EncodingKey::from_secret(secret.as_bytes()).map_err(|e| e.to_string())?;
        self.keys.insert(id.into(), Key { algorithm: Algorithm::HS256, checks, signs: Some(signs) });
        Ok(())
    }

    /// An Ed25519 key: the public one as base64 of its 32 bytes, the private one as base64 of PKCS#8 DER.
    ///
    /// # Errors
    /// One of them is not base64, or of a wrong length.
    pub fn add_ed25519(&mut self, id: &str, public: &str, private: Option<&str>) -> Result<(), String> {
        let bytes = |text: &str| BASE64_STANDARD.decode(text).map_err(|e| format!("is not base64: {e}"));
        let public = bytes(public)?;
        if public.len() != 32 {
            return Err(format!("is {} bytes long, not 32", public.len()));
        }
        let signs = private.map(bytes).transpose()?.map(|der| EncodingKey::from_ed_der(&der));
        let checks = DecodingKey::from_ed_der(&public);
        self.keys.insert(id.into(), Key { algorithm: Algorithm::EdDSA, checks, signs });
        Ok(())
    }

    /// Whether the signing key is there and can sign.
    pub fn can_sign(&self) -> bool {
        self.keys.get(&self.signs).is_some_and(|key| key.signs.is_some())
    }

    /// Another key signs from now on; false where that one is not there or can't sign.
    pub fn sign_by(&mut self, id: &str) -> bool {
        let before = std::mem::replace(&mut self.signs, id.into());
        let can = self.can_sign();
        if !can {
            self.signs = before;
        }
        can
    }

    /// A signed token, valid from `now` for `life`.
    ///
    /// # Errors
    /// No key signs.
    pub fn mint(&self, token_claims: &TokenClaims, now: Duration, life: Duration) -> Result<String, String> {
        let key = self.keys.get(&self.signs).ok_or_else(|| format!("no key {:?}", self.signs))?;
        let signs = key.signs.as_ref().ok_or_else(|| format!("key {:?} can't sign", self.signs))?;
        let mut header = Header::new(key.algorithm);
        header.kid = Some(self.signs.clone());
        // Dates are whole seconds (RFC 7519, 2); a part of a second more is not life lost.
        let ends = (now + life).as_millis().div_ceil(1000) as u64;
        let mut claims = json!({
            "vw": format!("{:032x}", token_claims.session), "title": token_claims.title, "pkg": token_claims.package, "top": token_claims.top,
            "tenant": token_claims.tenant, "nbf": now.as_secs(), "exp": ends,
        });
        if let Some(GrantedTuneIn { manager, incarnation, viewing_id, n, server, sequence, began }) =
            &token_claims.granted
        {
            claims["tin"] =
                json!([manager, incarnation, viewing_id, n, server.to_string(), sequence, began.as_secs()]);
        }
        encode(&header, &claims, signs).map_err(|e| e.to_string())
    }

    /// What a token entitles to, and from when to when. `skew`: how far clocks may be apart.
    ///
    /// # Errors
    /// Why it is not taken. Dates are looked at only of what is signed.
    pub fn check(
        &self, token: &str, now: Duration, skew: Duration,
    ) -> Result<(TokenClaims, (Duration, Duration)), Refusal> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Refusal::Malformed);
        }
        let header = decode_header(token).map_err(|_| Refusal::Malformed)?;
        let key = header.kid.and_then(|id| self.keys.get(&id)).ok_or(Refusal::UnknownKey)?;
        // Guards against a token that names a weaker way of signing than its key's.
        let mut how = Validation::new(key.algorithm);
        how.validate_exp = false;
        how.validate_aud = false;
        how.required_spec_claims.clear();
        let claims = decode::<Value>(token, &key.checks, &how).map_err(|error| match error.kind() {
            ErrorKind::InvalidSignature | ErrorKind::InvalidAlgorithm => Refusal::Forged,
            _ => Refusal::Malformed,
        })?;
        let claims = claims.claims;
        let date = |name: &str| claims[name].as_u64().map(Duration::from_secs).ok_or(Refusal::Malformed);
        let (from, until) = (date("nbf")?, date("exp")?);
        if now + skew < from {
            return Err(Refusal::NotYetValid);
        }
        if now >= until + skew {
            return Err(Refusal::Expired);
        }
        let token_claims = parse_token_claims(&claims).ok_or(Refusal::Malformed)?;
        Ok((token_claims, (from, until)))
    }
}

fn parse_token_claims(claims: &Value) -> Option<TokenClaims> {
    let text = |name: &str| claims[name].as_str().map(String::from);
    let session = text("vw").filter(|viewing_id| viewing_id.len() == 32)?;
    let granted = match &claims["tin"] {
        Value::Null => None,
        tin => Some(GrantedTuneIn {
            manager: tin[0].as_str()?.to_string(),
            incarnation: tin[1].as_u64()?,
            viewing_id: u32::try_from(tin[2].as_u64()?).ok()?,
            n: u16::try_from(tin[3].as_u64()?).ok()?,
            server: tin[4].as_str()?.parse().ok()?,
            sequence: u32::try_from(tin[5].as_u64()?).ok()?,
            began: Duration::from_secs(tin[6].as_u64()?),
        }),
    };
    Some(TokenClaims {
        session: u128::from_str_radix(&session, 16).ok()?,
        title: text("title")?,
        package: text("pkg")?,
        top: usize::try_from(claims["top"].as_u64()?).ok()?,
        tenant: text("tenant")?,
        granted,
    })
}
